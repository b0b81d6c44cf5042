// Package telemetry provides a process's structured log, one key=value line per
// event, and its metrics. API keys, operator tokens, prompts and responses must
// never be passed to it.
package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"banyanwalk/core/hlc"
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	entry *logrus.Entry
	clock *hlc.Clock
}

// Options configures a Log.
type Options struct {
	Process    string // program and instance, such as gateway/g1
	DataCentre string
	Level      string // logrus level name; empty means info
	Output     io.Writer
}

// NewLog returns a log that writes key=value lines to o.Output. Each line names
// the process and its data centre.
func NewLog(o Options) (*Log, error) {
	logger := logrus.New()
	logger.SetOutput(o.Output)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: "2006-01-02T15:04:05.000000Z07:00",
	})
	if o.Level != "" {
		level, err := logrus.ParseLevel(o.Level)
		if err != nil {
			return nil, err
		}
		logger.SetLevel(level)
	}
	fields := logrus.Fields{"process": o.Process, "data_centre": o.DataCentre}
	return &Log{entry: logger.WithFields(fields), clock: &hlc.Clock{}}, nil
}

// Discard returns a log that discards all events, for tests.
func Discard() *Log {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Log{entry: logrus.NewEntry(logger), clock: &hlc.Clock{}}
}

// With returns a log whose events also carry the given key-value pairs.
func (l *Log) With(keyValues ...any) *Log {
	return &Log{entry: l.entry.WithFields(fields(keyValues)), clock: l.clock}
}

// Clock returns the hybrid logical clock that stamps the events.
func (l *Log) Clock() *hlc.Clock { return l.clock }

// Info records a normal event, such as "request_admitted".
func (l *Log) Info(event string, keyValues ...any) { l.write(logrus.InfoLevel, event, keyValues) }

// Warn records an event that may need an operator's attention.
func (l *Log) Warn(event string, keyValues ...any) { l.write(logrus.WarnLevel, event, keyValues) }

// Error records a failure of the process itself.
func (l *Log) Error(event string, keyValues ...any) { l.write(logrus.ErrorLevel, event, keyValues) }

// Debug records details that are off by default.
func (l *Log) Debug(event string, keyValues ...any) { l.write(logrus.DebugLevel, event, keyValues) }

func (l *Log) write(level logrus.Level, event string, keyValues []any) {
	if !l.entry.Logger.IsLevelEnabled(level) {
		return
	}
	f := fields(keyValues)
	f["hlc"] = l.clock.Now(time.Now().UnixMilli()).String()
	l.entry.WithFields(f).Log(level, event)
}

func fields(keyValues []any) logrus.Fields {
	f := make(logrus.Fields, len(keyValues)/2+1)
	for i := 0; i+1 < len(keyValues); i += 2 {
		f[fmt.Sprint(keyValues[i])] = keyValues[i+1]
	}
	return f
}

// DiscardHTTPLogger implements fasthttp.Logger and discards all messages. It is
// for HTTP servers whose clients often disconnect, which fasthttp would log each
// time.
type DiscardHTTPLogger struct{}

// Printf does nothing.
func (DiscardHTTPLogger) Printf(string, ...any) {}
