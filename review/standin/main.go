//go:build review

// Command standin plays a case of the review: it starts stand-ins of the state service, the cloud, the workers
// and the users on loopback addresses, and controllers as separate processes. It exits with 1 if the rule of the
// case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Env is what a case runs with.
type Env struct {
	rec     *Record
	dir     string
	program string
	trouble bool
	stop    chan struct{}
	closers []func()
}

func (e *Env) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	e.closers = append(e.closers, func() { _ = s.Close() })
	return l.Addr().String()
}

var cases = map[string]func(*Env) (int, error){"1": outgrownPage, "2": shortCheckpoints, "3": swarm}

func main() {
	name := flag.String("case", "", "the case")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	program := flag.String("program", "target/coralhub", "the controller's program")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.Bool("keep", false, "keep the temporary folder with settings and logs")
	flag.Parse()
	os.Exit(play(*name, *folder, *program, *trouble, *keep))
}

func play(name, folder, program string, trouble, keep bool) int {
	f := cases[name]
	if f == nil {
		fmt.Println("no such case")
		return 2
	}
	program, err := filepath.Abs(program)
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Println(err)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "coralhub-review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if !keep {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("folder", dir)
	}
	e := &Env{rec: rec, dir: dir, program: program, trouble: trouble, stop: make(chan struct{})}
	rec.Say("case %s, disruption: %v", name, trouble)
	code, err := f(e)
	close(e.stop)
	for _, c := range e.closers {
		c()
	}
	if err != nil {
		rec.Say("the case could not run: %v", err)
		return 2
	}
	rec.Say("%s", map[int]string{0: "PASS: the rule held", 1: "FAIL: the rule was broken", 2: "the case could not run"}[code])
	return code
}

func waitFor(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
