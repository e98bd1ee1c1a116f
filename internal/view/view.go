// Package view shows the progress of a fault test in a terminal.
package view

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"

	tea "charm.land/bubbletea/v2"

	"coralhub/internal/faulttest"
)

// Screen displays the progress of a fault test in a terminal.
type Screen struct {
	program *tea.Program
	running sync.WaitGroup
	err     error // error that ended the program; nil after Close or a key
}

// Open takes control of the terminal f until ctx ends or the screen is closed. It calls stop if the user
// presses q or Ctrl-C. If the terminal can't be used, the test continues without display and Close returns
// the error.
func Open(ctx context.Context, f *os.File, stop func(), title string) *Screen {
	s := &Screen{program: tea.NewProgram(model{title: title, stop: stop}, tea.WithContext(ctx), tea.WithOutput(f))}
	s.running.Go(func() {
		if _, err := s.program.Run(); ctx.Err() == nil {
			s.err = err
		}
	})
	return s
}

// Show replaces the displayed status. It is safe for concurrent use.
func (s *Screen) Show(st faulttest.Status) { s.program.Send(st) }

// Close releases the terminal and waits until drawing has ended. It returns the error if the terminal could
// not be used. It does nothing for a nil Screen.
func (s *Screen) Close() error {
	if s == nil {
		return nil
	}
	s.program.Quit()
	s.running.Wait()
	return s.err
}

// model is the bubbletea model of the screen.
type model struct {
	title  string
	stop   func()
	status faulttest.Status
}

// Init implements tea.Model.
func (m model) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (m model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch x := msg.(type) {
	case faulttest.Status:
		m.status = x
	case tea.KeyPressMsg:
		if k := x.String(); k == "q" || k == "ctrl+c" {
			m.stop()
			return m, tea.Quit
		}
	}
	return m, nil
}

// View implements tea.Model.
func (m model) View() tea.View { return tea.NewView(render(m.title, &m.status)) }

const (
	barWidth = 40
	maxMarks = 6
)

// render returns the text that displays a status.
func render(title string, s *faulttest.Status) string {
	var b strings.Builder
	renderProgress(&b, title, s)
	renderNodes(&b, s)
	renderClasses(&b, s)
	renderMachines(&b, s)
	for _, m := range s.Marks[max(0, len(s.Marks)-maxMarks):] {
		fmt.Fprintf(&b, "  %s\n", m.What)
	}
	return b.String()
}

func renderProgress(b *strings.Builder, title string, s *faulttest.Status) {
	done := 0.0
	if s.DurationS > 0 {
		done = min(s.ElapsedS/s.DurationS, 1)
	}
	filled := int(done * barWidth)
	fmt.Fprintf(b, "%s\n[%s%s] %.0f of %.0f s\n\n",
		title, strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), s.ElapsedS, s.DurationS)
}

func renderNodes(b *strings.Builder, s *faulttest.Status) {
	for _, n := range s.Nodes {
		state := "down"
		if n.Ready {
			state = "ready"
		}
		if n.Name == s.Leader {
			state += ", leads"
		}
		fmt.Fprintf(b, "%-8s in %-8s %-14s %6.1f s cpu %5.0f MB %2d restarts\n",
			n.Name, n.Zone, state, n.CPUS, n.PeakMB, n.Restarts)
	}
}

func renderClasses(b *strings.Builder, s *faulttest.Status) {
	fmt.Fprintf(b, "\n%-20s %9s %9s %9s %9s %9s\n", "class", "submitted", "accepted", "started", "done", "cancelled")
	for _, c := range s.Classes {
		fmt.Fprintf(b, "%-20s %9d %9d %9d %9d %9d\n", c.Class, c.Submitted, c.Accepted, c.Started, c.Done, c.Cancelled)
	}
}

func renderMachines(b *strings.Builder, s *faulttest.Status) {
	b.WriteString("\nmachines:")
	for _, state := range slices.Sorted(maps.Keys(s.Machines)) {
		fmt.Fprintf(b, " %d %s", s.Machines[state], state)
	}
	fmt.Fprintf(b, "; %d tasks on them\n\n", s.RunningTasks)
}
