package event

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/sirupsen/logrus"
)

// Format is the format of log lines.
type Format string

// Formats of log lines.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Logger writes events as log lines. It limits the rate of each event number;
// the next line logged for that number gives the count of suppressed events.
type Logger struct {
	entry *logrus.Entry

	mu      sync.Mutex
	windows map[int]*window // by event number; bounded by the catalogue
}

// window counts the logged events of one number in the current rateWindow.
type window struct {
	start      time.Time
	logged     int
	suppressed uint64 // since the last logged event, in any window
}

// NewLogger returns a logger for one process, whose name is in every line.
func NewLogger(w io.Writer, format Format, level Level, process string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(logrusLevel(level))
	if format == JSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: true})
	} else {
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	}
	return &Logger{entry: l.WithField("process", process), windows: map[int]*window{}}
}

// Log writes one event if its level and rate permit; an unknown number is logged
// as an error.
func (l *Logger) Log(now time.Time, e currantturn.Event) {
	d := Lookup(e.Number)
	if d == nil {
		d = &Definition{Name: "unknown_event", Level: Error, Text: "event is not in the catalogue"}
	}
	if !l.entry.Logger.IsLevelEnabled(logrusLevel(d.Level)) {
		return
	}
	suppressed, ok := l.allow(now, d.Number)
	if !ok {
		return
	}
	fields := logrus.Fields{"event": e.Number, "event_name": d.Name}
	for _, f := range e.Fields {
		fields[f.Name] = fieldValue(f.Value)
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	l.entry.WithTime(now).WithFields(fields).Log(logrusLevel(d.Level), d.Text)
}

// LogAll writes events that have the same time.
func (l *Logger) LogAll(now time.Time, events []currantturn.Event) {
	for _, e := range events {
		l.Log(now, e)
	}
}

// allow counts an event. It reports whether the event may be logged, and how many
// of its number were suppressed since the last logged one.
func (l *Logger) allow(now time.Time, number int) (suppressed uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.windows[number]
	if w == nil {
		w = &window{start: now}
		l.windows[number] = w
	}
	if now.Sub(w.start) >= rateWindow {
		w.start = now
		w.logged = 0
	}
	if w.logged == maxPerWindow {
		w.suppressed++
		return 0, false
	}
	w.logged++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

// fieldValue converts errors and Stringers, such as flows and durations, to text,
// so that they are readable in JSON lines. It is called only for events that are
// logged, so suppressed events cost no formatting.
func fieldValue(v any) any {
	switch v := v.(type) {
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	}
	return v
}

func logrusLevel(l Level) logrus.Level {
	switch l {
	case Debug:
		return logrus.DebugLevel
	case Warning:
		return logrus.WarnLevel
	case Error:
		return logrus.ErrorLevel
	default:
		return logrus.InfoLevel
	}
}
