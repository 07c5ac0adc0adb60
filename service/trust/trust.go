// Package trust holds the keys and certificates between processes and checks
// the role in the certificate of whoever connects.
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

// Credentials is what the process proves itself with. A test or demonstration
// supplies it as a host value; otherwise it is read from the settings.
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

// PlainRefusedError reports settings without TLS files that do not allow plain links.
type PlainRefusedError struct{}

func (*PlainRefusedError) Error() string {
	return "tls: cert, key and ca are not set; set tls.plain = true to run without TLS"
}

// NoCertificateError reports a CA file without a usable certificate.
type NoCertificateError struct{}

func (*NoCertificateError) Error() string { return "no certificate in the file" }

type service struct {
	settings api.TLS
	material atomic.Pointer[Credentials]
	plain    bool
}

func (s *service) Provision(c *kernel.Context) error {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	s.settings = settings.TLS
	if given, err := kernel.Value[*Credentials](c); err == nil {
		s.material.Store(given)
		return nil
	}
	if s.settings.Cert == "" && s.settings.Key == "" && s.settings.CA == "" {
		if !s.settings.AllowPlaintext {
			return &PlainRefusedError{}
		}
		s.plain = true
		return nil
	}
	return s.Reload()
}

// Reload reads the files again. Connections that are open keep the keys they
// were made with, new ones use the new keys.
func (s *service) Reload() error {
	if s.plain || s.settings.Cert == "" {
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
	s.material.Store(&Credentials{Certificate: cert, Roots: roots})
	return nil
}

func (s *service) Client(role string) *tls.Config {
	if s.plain {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.material.Load().Certificate, nil
		},
		// Processes are known by role and name, not by host name, so the chain
		// and the role are verified here instead of the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageServerAuth, role)
		},
	}
}

func (s *service) Server() *tls.Config {
	if s.plain {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.material.Load().Certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(state, x509.ExtKeyUsageClientAuth, "")
		},
	}
}

func (s *service) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, role string) error {
	if len(state.PeerCertificates) == 0 {
		return &api.TrustError{Reason: "no certificate"}
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         s.material.Load().Roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &api.TrustError{Reason: err.Error()}
	}
	if role != "" && !slices.Contains(leaf.Subject.OrganizationalUnit, role) {
		return &api.TrustError{Reason: "the certificate lacks the role " + role}
	}
	return nil
}

func (s *service) Peer(conn net.Conn) (api.PeerIdentity, *api.TrustError) {
	if s.plain {
		return api.PeerIdentity{}, nil
	}
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the connection is not TLS"}
	}
	state := secure.ConnectionState()
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].Subject.OrganizationalUnit) != 1 {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the certificate states no single role"}
	}
	subject := state.PeerCertificates[0].Subject
	return api.PeerIdentity{Role: subject.OrganizationalUnit[0], Name: subject.CommonName}, nil
}
