package batchapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"banyanwalk/core/auth"
	"banyanwalk/core/bundle"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/httpapi"
	"banyanwalk/infra/telemetry"
	"banyanwalk/infra/wire"
	"banyanwalk/services/control"
	"banyanwalk/services/control/workgroup"
)

// eventTimeout bounds how long a test waits for an expected event. It isn't a
// performance limit.
const eventTimeout = 60 * time.Second

const (
	keyLab       = "key-of-the-lab"
	keyOffice    = "key-of-the-office"
	pollInterval = 10 * time.Millisecond
)

// testBundle returns a bundle with two workspaces, a model, a model that only the
// office may use, and a service that isn't idempotent.
func testBundle() string {
	return fmt.Sprintf(`
version: 1
data_centres: [{name: a, region: r}]
models:
  - {name: bell-lm, kind: model}
  - {name: advisor-llm, kind: model}
  - {name: dispatch, kind: service}
routes:
  - {path: /v1/chat/completions, idempotent: true}
  - {path: /v1/files}
  - {path: /v1/services/dispatch, service: dispatch, timeout: 5s}
workspaces:
  - {name: lab, rate: 100, burst: 100, weight: 2, models: [bell-lm, dispatch], keys: [{digest: %s}]}
  - {name: office, rate: 100, burst: 100, weight: 1, keys: [{digest: %s}]}
limits: {max_body_bytes: 2000, max_batch_file_bytes: 400000, max_batch_items: 1000, max_item_attempts: 3, max_attempts: 2,
  retry_ratio: 0.1, request_timeout: 30s, open_rate: 1, open_burst: 1}
`, auth.KeyDigest(keyLab), auth.KeyDigest(keyOffice))
}

// staticAuthenticator authenticates against a fixed bundle.
type staticAuthenticator struct{ index *bundle.Index }

func (a staticAuthenticator) Authenticate(c fiber.Ctx) (*bundle.Workspace, *bundle.Index, error) {
	key, err := auth.BearerKey(strings.Clone(c.Get(fiber.HeaderAuthorization)))
	if err != nil {
		return nil, nil, err
	}
	w, ok := a.index.KeyWorkspace(auth.KeyDigest(key))
	if !ok {
		return nil, nil, outcome.New(outcome.KeyUnknown, outcome.NotRun, "the key is not known")
	}
	return w, a.index, nil
}

// singleControl implements Control over the only control host of a test.
type singleControl struct {
	pool *wire.Pool
	addr string
}

func (c singleControl) CallIdempotent(ctx context.Context, method wire.Method, request, response any) error {
	for {
		err := c.pool.Call(ctx, c.addr, method, request, response)
		retry := outcome.IsCode(err, outcome.NotLeader) || outcome.IsCode(err, outcome.NoQuorum) || outcome.IsCode(err, outcome.Unreachable)
		if err == nil || !retry || ctx.Err() != nil {
			return err
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (c singleControl) Open(ctx context.Context, method wire.Method) (*wire.Stream, error) {
	return c.pool.Open(ctx, c.addr, method)
}

type fixture struct {
	t       *testing.T
	control singleControl
	url     string
}

// startFixture serves the API over one control host until the test ends.
func startFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	server, err := control.New(control.Config{ID: 1, Peers: map[uint64]string{1: addr}, DataDir: t.TempDir(), AllowUnsignedBundles: true})
	require.NoError(t, err)
	_, err = workgroup.New(server, workgroup.Config{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Run(ctx, listener); err != nil {
			t.Errorf("control: %v", err)
		}
	})
	pool := wire.NewPool(nil)
	f := &fixture{t: t, control: singleControl{pool: pool, addr: addr}}

	index, err := bundle.Load([]byte(testBundle()))
	require.NoError(t, err)
	app := fiber.New(fiber.Config{StreamRequestBody: true, BodyLimit: 1 << 30})
	New(f.control, telemetry.Discard()).Register(app, staticAuthenticator{index})
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.url = "http://" + httpListener.Addr().String()
	wg.Go(func() { _ = httpapi.Serve(ctx, app, httpListener, time.Second) })
	t.Cleanup(func() { pool.Close(); cancel(); wg.Wait() })
	require.Eventually(t, func() bool { return server.Leads(1) }, eventTimeout, 5*time.Millisecond)
	return f
}

// doRequest sends an HTTP request and returns the status and the body of the
// response. headers are pairs of name and value.
func (f *fixture) doRequest(key, method, path, contentType string, body io.Reader, headers ...string) (int, []byte) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.url+path, body)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", contentType)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, responseBody
}

// uploadForm uploads a file as a multipart form and returns the status and the
// body of the response.
func (f *fixture) uploadForm(contents string, purposeFirst bool, purpose string) (int, []byte) {
	f.t.Helper()
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if purposeFirst {
		require.NoError(f.t, w.WriteField("purpose", purpose))
	}
	part, err := w.CreateFormFile("file", "plans.jsonl")
	require.NoError(f.t, err)
	_, err = io.WriteString(part, contents)
	require.NoError(f.t, err)
	if !purposeFirst {
		require.NoError(f.t, w.WriteField("purpose", purpose))
	}
	require.NoError(f.t, w.Close())
	return f.doRequest(keyLab, http.MethodPost, "/v1/files", w.FormDataContentType(), &form)
}

func (f *fixture) mustUpload(contents string) fileObject {
	f.t.Helper()
	status, response := f.uploadForm(contents, true, "batch")
	require.Equal(f.t, http.StatusOK, status, string(response))
	return decode[fileObject](f.t, response)
}

func decode[T any](t *testing.T, raw []byte) T {
	t.Helper()
	var out T
	require.NoError(t, json.Unmarshal(raw, &out), string(raw))
	return out
}

func (f *fixture) createBatch(fileID string, headers ...string) (int, []byte) {
	f.t.Helper()
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"30m","metadata":{"round":"7"}}`, fileID)
	return f.doRequest(keyLab, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body), headers...)
}

func (f *fixture) get(path string) (int, []byte) {
	f.t.Helper()
	return f.doRequest(keyLab, http.MethodGet, path, "", nil)
}

func chatLine(i int) string {
	return fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"bell-lm","messages":[]}}`+"\n", i)
}

func chatLines(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(chatLine(i))
	}
	return b.String()
}
