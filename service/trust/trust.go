// Package trust holds the keys and certificates for connections between processes
// and checks the roles in peer certificates.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync/atomic"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Credentials holds the certificate and key of the process and the trusted root
// certificates. A test or demonstration supplies it as a host value; otherwise it is
// read from the files named in the settings.
type Credentials struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// LoadError reports a key or certificate file that cannot be used.
type LoadError struct {
	File string
	Err  error
}

func (e *LoadError) Error() string { return "load " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// TLSNotConfiguredError reports settings that neither name TLS files nor allow
// plaintext connections.
type TLSNotConfiguredError struct{}

func (*TLSNotConfiguredError) Error() string {
	return "tls: cert, key and ca are not set; set tls.plain = true to run without TLS"
}

// NoCertificateError reports a CA file that contains no usable certificate.
type NoCertificateError struct{}

func (*NoCertificateError) Error() string { return "the file contains no usable certificate" }

type service struct {
	settings    api.TLS
	credentials atomic.Pointer[Credentials]
	plaintext   bool
}

func (s *service) Provision(c *kernel.Context) error {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	s.settings = settings.TLS
	if credentials, err := kernel.Value[*Credentials](c); err == nil {
		s.credentials.Store(credentials)
		return nil
	}
	if s.settings.Cert == "" && s.settings.Key == "" && s.settings.CA == "" {
		if !s.settings.AllowPlaintext {
			return &TLSNotConfiguredError{}
		}
		s.plaintext = true
		return nil
	}
	return s.Reload()
}

// Reload reads the files again. New connections use the new credentials; open
// connections are not affected. After an error, the old credentials stay in use.
func (s *service) Reload() error {
	if s.plaintext || s.settings.Cert == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(s.settings.Cert, s.settings.Key)
	if err != nil {
		return &LoadError{File: s.settings.Cert, Err: err}
	}
	pem, err := os.ReadFile(s.settings.CA)
	if err != nil {
		return &LoadError{File: s.settings.CA, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return &LoadError{File: s.settings.CA, Err: &NoCertificateError{}}
	}
	s.credentials.Store(&Credentials{Certificate: cert, Roots: roots})
	return nil
}

func (s *service) Client(role string) *tls.Config {
	if s.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.credentials.Load().Certificate, nil
		},
		// Certificates identify processes by role and name instead of host name.
		// VerifyConnection checks the chain and the role.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageServerAuth, role)
		},
	}
}

func (s *service) Server() *tls.Config {
	if s.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.credentials.Load().Certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

func (s *service) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, role string) error {
	if len(state.PeerCertificates) == 0 {
		return &api.TrustError{Reason: "the peer sent no certificate"}
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.credentials.Load().Roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &api.TrustError{Reason: err.Error()}
	}
	if role != "" && !slices.Contains(leaf.Subject.OrganizationalUnit, role) {
		return &api.TrustError{Reason: "the certificate does not have the role " + role}
	}
	return nil
}

func (s *service) Peer(conn net.Conn) (api.PeerIdentity, *api.TrustError) {
	if s.plaintext {
		return api.PeerIdentity{}, nil
	}
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the connection is not TLS"}
	}
	state := tlsConn.ConnectionState()
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].Subject.OrganizationalUnit) != 1 {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the certificate does not have exactly one role"}
	}
	subject := state.PeerCertificates[0].Subject
	return api.PeerIdentity{Role: subject.OrganizationalUnit[0], Name: subject.CommonName}, nil
}
