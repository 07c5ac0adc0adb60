package trust_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/trust"
)

type reloader interface{ Reload() error }

// start starts the service with the settings and host values.
func start(t *testing.T, s *api.Settings, values ...any) (api.Trust, error) {
	t.Helper()
	r := kernel.NewRegistry()
	if err := trust.Register(r); err != nil {
		t.Fatal(err)
	}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: append(values, s)})
	if err := host.Start(t.Context()); err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	return kernel.Find[api.Trust](host, api.ServiceTrust)
}

func newAuthority(t *testing.T) *devcert.Authority {
	t.Helper()
	a, err := devcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newProcess(t *testing.T, a *devcert.Authority, role, name string) api.Trust {
	t.Helper()
	cert, err := a.Issue(role, name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := start(t, &api.Settings{}, &trust.Credentials{Certificate: cert, Roots: a.Roots})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// connect makes one connection and returns the identity of the client as seen by
// the server, or the error of the side that refused the other.
func connect(t *testing.T, server, client api.Trust, role string) (api.PeerIdentity, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed := make(chan error, 1)
	go func() {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client.Client(role))
		if err == nil {
			// In TLS 1.3 the client receives the server's alert at its first read.
			_, _ = conn.Read(make([]byte, 1))
			err = conn.Close()
		}
		dialed <- err
	}()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted := tls.Server(raw, server.Server())
	err = accepted.Handshake()
	var id api.PeerIdentity
	if err == nil {
		var refused *api.TrustError
		if id, refused = server.Peer(accepted); refused != nil {
			err = refused
		}
	}
	_ = raw.Close()
	// If the client refused the server, its error is more specific than the alert
	// that the server received.
	var refused *api.TrustError
	if dialErr := <-dialed; errors.As(dialErr, &refused) {
		err = dialErr
	}
	return id, err
}

// Guards against connections to or from a process whose certificate comes from
// another authority or has the wrong role.
func TestConnectionRequiresAuthorityAndRole(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	agent, router := newProcess(t, ours, api.RoleAgent, "m1"), newProcess(t, ours, api.RoleRouter, "r1")
	id, err := connect(t, agent, router, api.RoleAgent)
	if err != nil || id != (api.PeerIdentity{Role: api.RoleRouter, Name: "r1"}) {
		t.Errorf("a router at an agent: %+v, %v", id, err)
	}
	var refused *api.TrustError
	if _, err := connect(t, router, agent, api.RoleAgent); !errors.As(err, &refused) {
		t.Errorf("a router in place of an agent: %v", err)
	}
	if _, err := connect(t, agent, newProcess(t, theirs, api.RoleRouter, "r1"), api.RoleAgent); err == nil {
		t.Error("a router of another authority was accepted")
	}
	if _, err := connect(t, newProcess(t, theirs, api.RoleAgent, "m1"), router, api.RoleAgent); err == nil {
		t.Error("an agent of another authority was accepted")
	}
}

// Guards against a process that runs without TLS because files are not set or are
// missing, although the settings don't allow plaintext connections.
func TestPlaintextRequiresSetting(t *testing.T) {
	var notConfigured *trust.TLSNotConfiguredError
	if _, err := start(t, &api.Settings{}); !errors.As(err, &notConfigured) {
		t.Errorf("without files: %v", err)
	}
	s, err := start(t, &api.Settings{TLS: api.TLS{AllowPlaintext: true}})
	if err != nil || s.Server() != nil || s.Client(api.RoleAgent) != nil {
		t.Errorf("plaintext allowed by setting: %v", err)
	}
	var loadError *trust.LoadError
	missing := filepath.Join(t.TempDir(), "none.pem")
	if _, err := start(t, &api.Settings{TLS: api.TLS{Cert: missing, Key: missing, CA: missing}}); !errors.As(err, &loadError) {
		t.Errorf("missing files: %v", err)
	}
}

// Guards against connections that use the old key after a reload or the new key
// before it, and against an invalid key file that replaces a valid key.
func TestReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	files := api.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	write := func(name string) {
		cert, err := a.Issue(api.RoleRouter, name)
		if err != nil {
			t.Fatal(err)
		}
		certPEM, keyPEM, err := devcert.EncodePair(cert)
		if err != nil {
			t.Fatal(err)
		}
		for path, data := range map[string][]byte{files.Cert: certPEM, files.Key: keyPEM} {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	write("before")
	if err := os.WriteFile(files.CA, a.PEM(), 0o600); err != nil {
		t.Fatal(err)
	}
	router, err := start(t, &api.Settings{TLS: files})
	if err != nil {
		t.Fatal(err)
	}
	agent := newProcess(t, a, api.RoleAgent, "m1")
	check := func(want string) {
		t.Helper()
		if id, err := connect(t, agent, router, api.RoleAgent); err != nil || id.Name != want {
			t.Errorf("connected as %q, %v, want %q", id.Name, err, want)
		}
	}
	check("before")
	write("after")
	check("before")
	if err := router.(reloader).Reload(); err != nil {
		t.Fatal(err)
	}
	check("after")
	if err := os.WriteFile(files.Key, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := router.(reloader).Reload(); err == nil {
		t.Error("a broken key file was accepted")
	}
	check("after")
}
