package targetcall

import (
	"strconv"
	"strings"
	"time"

	"banyanwalk/core/placement"
	"banyanwalk/core/roster"
)

// maxLoadFigure bounds the figures of a load header.
const maxLoadFigure = 1_000_000

// LoadObserver learns what targets say of their load in their responses.
type LoadObserver interface {
	ObserveLoad(now time.Time, target *roster.Record, load placement.TargetLoad)
	// ObserveMalformedLoad is told a load header that cannot be read.
	ObserveMalformedLoad(now time.Time, target *roster.Record, value string)
}

// Observer learns what targets say of themselves in their responses.
type Observer interface {
	LimitObserver
	LoadObserver
}

// observeLoad passes on the load that a response names.
func (c *Client) observeLoad(target *roster.Record, resp *Response) {
	value := resp.Header.Get(c.headers.Load)
	if value == "" || !c.isFromTarget(resp) {
		return
	}
	load, ok := parseLoad(value)
	if !ok {
		c.malformedLoads.Inc(1)
		c.loads.ObserveMalformedLoad(time.Now(), target, value)
		return
	}
	resp.Load = load
	c.loads.ObserveLoad(time.Now(), target, load)
}

// parseLoad parses RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,PACE.
func parseLoad(value string) (placement.TargetLoad, bool) {
	var load placement.TargetLoad
	fields := strings.Split(value, ",")
	figures := []*int{&load.Running, &load.Waiting, &load.Slots, &load.PacePercent}
	if len(fields) != len(figures) && len(fields) != len(figures)-1 {
		return placement.TargetLoad{}, false
	}
	for i, field := range fields {
		figure, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || !(figure >= 0 && figure <= maxLoadFigure) {
			return placement.TargetLoad{}, false
		}
		*figures[i] = int(figure)
	}
	return load, load.Slots > 0 && (len(fields) < len(figures) || load.PacePercent > 0)
}
