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

// shownApart are the fields that every line has or that the flow's history has
// in common.
var shownApart = []string{"time", "process", "event", "event_name", "level", "msg", "flow"}

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
			var all []logLine
			for _, path := range c.Args().Slice() {
				lines, err := linesOfFlow(path, c.String("flow"))
				if err != nil {
					return badInput("%v", err)
				}
				all = append(all, lines...)
			}
			if len(all) == 0 {
				return badInput("no line names the flow %s", c.String("flow"))
			}
			slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
			return printHistory(p.Out, all)
		},
	}
}

// linesOfFlow reads the lines that name a flow; what is no JSON is passed over,
// and so is what stands before it in a line.
func linesOfFlow(path, flow string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		at := strings.IndexByte(s.Text(), '{')
		if at < 0 {
			continue
		}
		var l logLine
		text := []byte(s.Text()[at:])
		if json.Unmarshal(text, &l) != nil || json.Unmarshal(text, &l.fields) != nil || l.fields["flow"] != flow {
			continue
		}
		all = append(all, l)
	}
	return all, s.Err()
}

// printHistory prints times from the first line on.
func printHistory(w io.Writer, all []logLine) error {
	start := all[0].Time
	for _, l := range all {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.fields)) {
			if !slices.Contains(shownApart, name) {
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
