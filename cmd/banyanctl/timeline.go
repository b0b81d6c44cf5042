package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"banyanwalk/services/timeline"
)

func timelineCommands() []command {
	return []command{{path: []string{"timeline"}, argUsage: "FILE...", argCount: -1, summary: "merge the logs of several processes into one timeline", run: showTimeline, registerFlags: func(c *invocation) {
		c.flagSet.StringVar(&c.options.request, "request", "", "only events of this request")
		c.flagSet.StringVar(&c.options.job, "job", "", "only events of this job")
		c.flagSet.StringVar(&c.options.target, "target", "", "only events of this target")
		c.flagSet.StringVar(&c.options.service, "service", "", "only events of this service, such as its rollouts")
		c.flagSet.StringVar(&c.options.since, "since", "", "only events at or after this time, such as 2006-01-02T15:04:05Z")
	}}}
}

func showTimeline(c *invocation) error {
	filter := timeline.Filter{Request: c.options.request, Job: c.options.job, Target: c.options.target, Service: c.options.service}
	if c.options.since != "" {
		since, err := time.Parse(time.RFC3339, c.options.since)
		if err != nil {
			return usageErrorf("-since: %v", err)
		}
		filter.Since = since
	}
	var events []timeline.Event
	for _, name := range c.args {
		file, err := os.Open(name)
		if err != nil {
			return usageErrorf("%v", err)
		}
		read, err := timeline.Read(file, filter)
		file.Close()
		if err != nil {
			return usageErrorf("%s: %v", name, err)
		}
		events = append(events, read...)
	}
	timeline.Sort(events)
	return c.print(events, func(out io.Writer) {
		table := newTable(out, "HLC", "PROCESS", "DATA CENTRE", "EVENT", "FIELDS")
		for _, e := range events {
			table.row(e.HLC, e.Process, orDash(e.DataCentre), e.Name, fmt.Sprint(e.Fields))
		}
		table.flush()
	})
}
