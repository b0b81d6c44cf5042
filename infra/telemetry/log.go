// Package telemetry writes the events of a process as one key=value line each
// and keeps its metrics. Keys, operator tokens, prompts and answers must never
// be passed to it.
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

// Options names the process in each of its events.
type Options struct {
	Process    string // program and instance, such as gateway/g1
	DataCentre string
	Level      string // logrus level name; empty means info
	Output     io.Writer
}

// NewLog returns a log that writes key=value lines to o.Output.
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

// Discard returns a log that drops everything, for tests.
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

// Info records a regular event, such as "request_admitted".
func (l *Log) Info(event string, keyValues ...any) { l.write(logrus.InfoLevel, event, keyValues) }

// Warn records an event that an operator may want to look at.
func (l *Log) Warn(event string, keyValues ...any) { l.write(logrus.WarnLevel, event, keyValues) }

// Error records a fault of the process itself.
func (l *Log) Error(event string, keyValues ...any) { l.write(logrus.ErrorLevel, event, keyValues) }

// Debug records detail that is off by default.
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

// Silent is the logger of HTTP servers whose callers come and go: it drops what
// they say of broken connections. It implements fasthttp.Logger.
type Silent struct{}

// Printf does nothing.
func (Silent) Printf(string, ...any) {}
