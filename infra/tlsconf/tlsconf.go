// Package tlsconf builds TLS configurations from a program's flags. Without
// certificate files, connections are not encrypted.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"banyanwalk/infra/settings"
)

// PeerFlags holds the TLS flags for connections between banyanwalk's own
// processes, which authenticate each other with certificates of one CA (mutual
// TLS).
type PeerFlags struct {
	cert, key, ca *string
}

// AddPeerFlags registers -tls-cert, -tls-key and -tls-ca.
func AddPeerFlags(s *settings.Set) *PeerFlags {
	p := &PeerFlags{
		cert: s.String("tls-cert", "", "PEM certificate of this process for connections between banyanwalk's processes"),
		key:  s.String("tls-key", "", "PEM private key of -tls-cert"),
		ca:   s.String("tls-ca", "", "PEM certificates of the CA that must have signed the certificates of peers"),
	}
	s.AddCheck(func() error { return allOrNone("-tls-cert, -tls-key and -tls-ca", *p.cert, *p.key, *p.ca) })
	return p
}

// Load reads the files and returns the server and client configurations, or nil
// for both if TLS is off.
func (p *PeerFlags) Load() (server, client *tls.Config, err error) {
	if *p.cert == "" {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(*p.cert, *p.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load -tls-cert and -tls-key")
	}
	roots, err := loadPool(*p.ca)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
	}
	return server, client, nil
}

// ListenerFlags holds the TLS flags of an HTTP listener for callers or operators.
type ListenerFlags struct {
	cert, key *string
}

// AddListenerFlags registers -http-tls-cert and -http-tls-key.
func AddListenerFlags(s *settings.Set) *ListenerFlags {
	l := &ListenerFlags{
		cert: s.String("http-tls-cert", "", "PEM certificate of the HTTP listener; empty: no TLS"),
		key:  s.String("http-tls-key", "", "PEM private key of -http-tls-cert"),
	}
	s.AddCheck(func() error { return allOrNone("-http-tls-cert and -http-tls-key", *l.cert, *l.key) })
	return l
}

// Listen opens a TCP listener on addr, with TLS if a certificate is set.
func (l *ListenerFlags) Listen(addr string) (net.Listener, error) {
	plain, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if *l.cert == "" {
		return plain, nil
	}
	cert, err := tls.LoadX509KeyPair(*l.cert, *l.key)
	if err != nil {
		plain.Close()
		return nil, errors.Wrap(err, "load -http-tls-cert and -http-tls-key")
	}
	return tls.NewListener(plain, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}), nil
}

// ClientConfig returns a client configuration that trusts the certificates of
// caFile, or nil if caFile is empty.
func ClientConfig(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	roots, err := loadPool(caFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}, nil
}

func loadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s contains no PEM certificate", file)
	}
	return roots, nil
}

func allOrNone(names string, values ...string) error {
	set := 0
	for _, v := range values {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != len(values) {
		return errors.Newf("%s must be set together", names)
	}
	return nil
}
