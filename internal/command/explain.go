package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// logLine is one JSON line of a process's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Text    string    `json:"msg"`
	fields  map[string]any
}

// omittedFields are the log fields that printHistory does not print as name=value:
// they have columns of their own, repeat the event number, or are equal in all
// lines of the flow.
var omittedFields = []string{"time", "process", "event", "event_name", "level", "msg", "flow"}

func (p *Program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print one flow's history from the logs of several processes",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "flow", Usage: "flow `ID`, CALLER>SERVICE as in the logs", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return badInput("%s takes FILE...", c.FullName())
			}
			var history []logLine
			for _, path := range c.Args().Slice() {
				lines, err := readFlowLines(path, c.String("flow"))
				if err != nil {
					return badInput("%v", err)
				}
				history = append(history, lines...)
			}
			if len(history) == 0 {
				return badInput("no log line of flow %s found", c.String("flow"))
			}
			slices.SortStableFunc(history, func(a, b logLine) int { return a.Time.Compare(b.Time) })
			return printHistory(p.Out, history)
		},
	}
}

// readFlowLines returns the log lines of a flow. It ignores any prefix before
// the JSON object of a line, and skips lines without one.
func readFlowLines(path, flow string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		brace := strings.IndexByte(scanner.Text(), '{')
		if brace < 0 {
			continue
		}
		var l logLine
		object := []byte(scanner.Text()[brace:])
		if json.Unmarshal(object, &l) != nil || json.Unmarshal(object, &l.fields) != nil || l.fields["flow"] != flow {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// printHistory prints the lines with times relative to the first one.
func printHistory(w io.Writer, history []logLine) error {
	start := history[0].Time
	for _, l := range history {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.fields)) {
			if !slices.Contains(omittedFields, name) {
				fields = append(fields, fmt.Sprintf("%s=%v", name, l.fields[name]))
			}
		}
		_, err := fmt.Fprintf(w, "%12s  %-22s %d %s  %s\n", "+"+l.Time.Sub(start).Round(10*time.Microsecond).String(),
			l.Process, l.Event, l.Text, strings.Join(fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
