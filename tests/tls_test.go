package tests

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"banyanwalk/infra/wire"
)

const tlsItems = 20

// A fleet with TLS on all connections serves callers and operators; connections
// without TLS or with a certificate of another CA fail, and no log shows a secret.
func TestTLS(t *testing.T) {
	fleetCerts, otherCerts := t.TempDir(), t.TempDir()
	writeCertificates(t, fleetCerts)
	writeCertificates(t, otherCerts)
	f := startFleet(t, "FLEET_TLS="+fleetCerts, "FLEET_ENGINES=2", "FLEET_SERVICES=1", "FLEET_LOG_LEVEL=debug")
	gateway := strings.Fields(f.env["GATEWAYS"])[0]

	trustingHTTPClient := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS(t, fleetCerts, "")}}
	defer trustingHTTPClient.CloseIdleConnections()
	client := openai.NewClient(
		option.WithBaseURL("https://"+gateway+"/v1/"), option.WithAPIKey(f.env["KEY_A"]),
		option.WithHTTPClient(trustingHTTPClient), option.WithMaxRetries(0),
	)
	s := &transcript{}
	streamChat(t, s, client, f.env["MODEL"])
	assert.Contains(t, s.String(), "stream ended")
	submitted := submitBatch(t, client, batchFile(f.env["MODEL"], tlsItems, 0, 4))
	done := awaitBatch(t, f, client, submitted.ID, openai.BatchStatusCompleted)
	assert.EqualValues(t, tlsItems, done.RequestCounts.Completed)
	total, distinct := countItems(fileLines(t, client, done.OutputFileID))
	assert.Equal(t, []int{tlsItems, tlsItems}, []int{total, distinct})

	out, err := banyanctlStatus(f, "https://", filepath.Join(fleetCerts, "ca.pem"))
	assert.NoError(t, err, out)
	out, err = banyanctlStatus(f, "https://", filepath.Join(otherCerts, "ca.pem"))
	assert.Error(t, err, out)
	out, err = banyanctlStatus(f, "http://", "")
	assert.Error(t, err, out)

	assertNoResponse(t, "http://"+gateway+"/readyz", &tls.Config{})
	assertNoResponse(t, "https://"+gateway+"/readyz", clientTLS(t, otherCerts, ""))
	for _, port := range []int{f.port + 1, f.port + 101} { // a control host, an agent
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		conn, err := wire.Dial(t.Context(), addr, clientTLS(t, fleetCerts, fleetCerts))
		require.NoError(t, err)
		conn.Close()
		for name, config := range map[string]*tls.Config{
			"plain":                     nil,
			"no certificate":            clientTLS(t, fleetCerts, ""),
			"certificate of another CA": clientTLS(t, fleetCerts, otherCerts),
			"trusts another CA":         clientTLS(t, otherCerts, fleetCerts),
		} {
			_, err := wire.Dial(t.Context(), addr, config)
			assert.Error(t, err, "%s, %s", addr, name)
		}
	}
	for _, secret := range []string{f.env["KEY_A"], f.env["OPERATOR_TOKEN"], "PRIVATE KEY", "how wide", "parcel 7"} {
		assert.Empty(t, f.logsContaining(secret), secret)
	}
}

// assertNoResponse checks that a request with the given TLS configuration fails
// without an HTTP response.
func assertNoResponse(t *testing.T, url string, config *tls.Config) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	response, err := client.Get(url)
	if err == nil {
		response.Body.Close()
	}
	assert.Error(t, err, url)
}

// banyanctlStatus runs banyanctl status against the first control host, trusting
// the CA in caFile.
func banyanctlStatus(f *fleet, scheme, caFile string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binDir, "banyanctl"), "status", "-timeout", "2s")
	command.Env = append(os.Environ(), "BANYAN_ADDR="+scheme+strings.Fields(f.env["CONTROLS"])[0],
		"BANYAN_OPERATOR_TOKEN="+f.env["OPERATOR_TOKEN"], "BANYAN_TLS_CA="+caFile)
	out, err := command.CombinedOutput()
	return string(out), err
}

// clientTLS returns a configuration that trusts the CA in one folder and, unless
// own is empty, presents the certificate in the other.
func clientTLS(t *testing.T, trusted, own string) *tls.Config {
	t.Helper()
	ca, err := os.ReadFile(filepath.Join(trusted, "ca.pem"))
	require.NoError(t, err)
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	require.True(t, config.RootCAs.AppendCertsFromPEM(ca))
	if own != "" {
		cert, err := tls.LoadX509KeyPair(filepath.Join(own, "cert.pem"), filepath.Join(own, "key.pem"))
		require.NoError(t, err)
		config.Certificates = []tls.Certificate{cert}
	}
	return config
}

// writeCertificates writes a new CA and a certificate for 127.0.0.1 signed by it,
// as FLEET_TLS of scripts/fleet.sh expects them.
func writeCertificates(t *testing.T, dir string) {
	t.Helper()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	require.NoError(t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	blocks := map[string]pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: caDER},
		"cert.pem": {Type: "CERTIFICATE", Bytes: leafDER},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: keyDER},
	}
	for name, block := range blocks {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&block), 0o600))
	}
}
