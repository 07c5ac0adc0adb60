// Package devcert creates short-lived certificates in memory for demonstrations
// and tests.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

const (
	validity = 24 * time.Hour
	// notBeforeMargin is how long before its creation a certificate becomes valid.
	notBeforeMargin = time.Hour
	serialBits      = 120
)

// Authority is a certificate authority for the certificates of processes.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// Roots contains only the authority's own certificate.
	Roots *x509.CertPool
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of the authority")
	}
	template, err := newTemplate(pkix.Name{CommonName: "mulberryfork development authority"})
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign certificate of the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "parse certificate of the authority")
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	return &Authority{cert: cert, key: key, Roots: roots}, nil
}

// Issue returns a certificate for a process, for both client and server use. The
// role is its organizational unit and the name its common name.
func (a *Authority) Issue(role, name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate key")
	}
	template, err := newTemplate(pkix.Name{CommonName: name, OrganizationalUnit: []string{role}})
	if err != nil {
		return tls.Certificate{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "sign certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

func newTemplate(subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-notBeforeMargin),
		NotAfter:     now.Add(validity),
	}, nil
}
