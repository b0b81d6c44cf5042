package load

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const operatorTimeout = 5 * time.Second

// operator performs the plan's events through the controls' operator API.
type operator struct {
	client   *fasthttp.Client
	controls []string
	token    string
}

// perform sends an event to one control after the other until one accepts it. All
// attempts carry the same Idempotency-Key.
func (o *operator) perform(ctx context.Context, e Event) error {
	path, err := eventPath(e)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("load-%s-%s-%d", e.Action, e.Name, time.Now().UnixNano())
	for _, control := range o.controls {
		if err = o.post(control+path, id); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (o *operator) post(url, id string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("Authorization", "Bearer "+o.token)
	request.Header.Set("Idempotency-Key", id)
	if err := o.client.DoTimeout(request, response, operatorTimeout); err != nil {
		return err
	}
	if response.StatusCode() >= 300 {
		return errors.Newf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

func eventPath(e Event) (string, error) {
	switch e.Action {
	case DataCentreOut:
		return "/admin/v1/data-centres/" + e.Name + "/out", nil
	case DataCentreIn:
		return "/admin/v1/data-centres/" + e.Name + "/in", nil
	case TargetOut:
		return "/admin/v1/targets/" + e.Name + "/out", nil
	case TargetIn:
		return "/admin/v1/targets/" + e.Name + "/in", nil
	default:
		return "", errors.Newf("unknown action %q", e.Action)
	}
}
