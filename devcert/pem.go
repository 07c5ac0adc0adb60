package devcert

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"

	"github.com/rotisserie/eris"
)

// PEM returns the authority's certificate in PEM encoding.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// EncodePair returns a certificate and its private key in PEM encoding.
func EncodePair(c tls.Certificate) (cert, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode private key")
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]})
	return cert, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}
