package tlsconf

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/settings"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
)

const methodEcho wire.Method = 1

type empty struct{}

// writeCA creates a CA and a certificate for 127.0.0.1 signed by it, writes both
// into dir and returns the flags that use them.
func writeCA(t *testing.T, dir string) []string {
	t.Helper()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test CA"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return []string{
		"-tls-ca", write("ca.pem", "CERTIFICATE", caDER),
		"-tls-cert", write("cert.pem", "CERTIFICATE", leafDER),
		"-tls-key", write("key.pem", "EC PRIVATE KEY", keyDER),
	}
}

func parsePeer(t *testing.T, args []string) (*PeerFlags, error) {
	t.Helper()
	s := settings.New("test", "test")
	p := AddPeerFlags(s)
	return p, s.Parse(args, &bytes.Buffer{})
}

func TestPeersOfAnotherCAAreRejected(t *testing.T) {
	sameCA, err := parsePeer(t, writeCA(t, t.TempDir()))
	require.NoError(t, err)
	otherCA, err := parsePeer(t, writeCA(t, t.TempDir()))
	require.NoError(t, err)
	serverTLS, clientTLS, err := sameCA.Load()
	require.NoError(t, err)
	_, otherCATLS, err := otherCA.Load()
	require.NoError(t, err)

	s := wire.NewServer(telemetry.Discard(), serverTLS)
	wire.HandleUnary(s, methodEcho, func(_ context.Context, in *empty) (*empty, error) { return in, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, s.Serve(ctx, l)) })
	defer wg.Wait()
	defer cancel()

	pool := wire.NewPool(clientTLS)
	defer pool.Close()
	require.NoError(t, pool.Call(t.Context(), l.Addr().String(), methodEcho, &empty{}, &empty{}))
	for _, untrusted := range []*wire.Pool{wire.NewPool(otherCATLS), wire.NewPool(nil)} {
		assert.Error(t, untrusted.Call(t.Context(), l.Addr().String(), methodEcho, &empty{}, &empty{}))
		untrusted.Close()
	}
}

func TestPartialTLSFlagsAreRejected(t *testing.T) {
	_, err := parsePeer(t, []string{"-tls-cert", "only.pem"})
	assert.ErrorContains(t, err, "must be set together")
}

func TestTLSIsOffByDefault(t *testing.T) {
	p, err := parsePeer(t, nil)
	require.NoError(t, err)
	server, client, err := p.Load()
	require.NoError(t, err)
	assert.Nil(t, server)
	assert.Nil(t, client)
}
