// Package view shows in a terminal how a rehearsal stands.
package view

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	tea "charm.land/bubbletea/v2"

	"coralhub/internal/faulttest"
)

// Screen is a terminal that a rehearsal is shown in.
type Screen struct {
	program *tea.Program
	done    chan struct{}
}

// Open takes the terminal over. If somebody presses q or Ctrl-C there, stop is called.
func Open(ctx context.Context, f *os.File, stop func(), title string) *Screen {
	s := &Screen{program: tea.NewProgram(model{title: title, stop: stop}, tea.WithContext(ctx), tea.WithOutput(f)), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_, _ = s.program.Run() // without a terminal there is nothing to see, and the run goes on
	}()
	return s
}

// Show shows how a run stands.
func (s *Screen) Show(st faulttest.Status) { s.program.Send(st) }

// Close gives the terminal back. A nil Screen has none.
func (s *Screen) Close() {
	if s != nil {
		s.program.Quit()
		<-s.done
	}
}

type model struct {
	title string
	stop  func()
	last  faulttest.Status
}

func (m model) Init() tea.Cmd { return nil }

func (m model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case faulttest.Status:
		m.last = x
	case tea.KeyPressMsg:
		if k := x.String(); k == "q" || k == "ctrl+c" {
			m.stop()
			return m, tea.Quit
		}
	}
	return m, nil
}

func (m model) View() tea.View { return tea.NewView(render(m.title, &m.last)) }

const (
	barWidth  = 40
	lastMarks = 6
)

// render draws how a run stands.
func render(title string, s *faulttest.Status) string {
	var b strings.Builder
	part := 0.0
	if s.DurationS > 0 {
		part = min(s.ElapsedS/s.DurationS, 1)
	}
	full := int(part * barWidth)
	fmt.Fprintf(&b, "%s\n[%s%s] %.0f of %.0f s\n\n", title, strings.Repeat("#", full), strings.Repeat(".", barWidth-full), s.ElapsedS, s.DurationS)
	for _, n := range s.Nodes {
		state := "down"
		if n.Ready {
			state = "ready"
		}
		if n.Name == s.Leader {
			state += ", leads"
		}
		fmt.Fprintf(&b, "%-8s in %-8s %-14s %6.1f s cpu %5.0f MB %2d restarts\n", n.Name, n.Zone, state, n.CPUS, n.PeakMB, n.Restarts)
	}
	fmt.Fprintf(&b, "\n%-20s %9s %9s %9s %9s %9s\n", "class", "submitted", "accepted", "started", "done", "cancelled")
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "%-20s %9d %9d %9d %9d %9d\n", c.Class, c.Submitted, c.Accepted, c.Started, c.Done, c.Off)
	}
	b.WriteString("\nmachines:")
	for _, state := range slices.Sorted(maps.Keys(s.Machines)) {
		fmt.Fprintf(&b, " %d %s", s.Machines[state], state)
	}
	fmt.Fprintf(&b, "; %d tasks on them\n\n", s.OnMachines)
	for _, m := range s.Marks[max(0, len(s.Marks)-lastMarks):] {
		fmt.Fprintf(&b, "  %s\n", m.What)
	}
	return b.String()
}
