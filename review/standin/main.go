// Command standin plays the cases of the review: it is the platform, the
// runners and the clients, and starts the routers as separate processes.
//
//	standin CASE RECORD-FILE
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left
// out.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Results of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// setting is what a case gets.
type setting struct {
	log     *record
	folder  string
	trouble bool
	nodes   []*node
}

var cases = map[string]func(s *setting) int{}

func main() { os.Exit(play()) }

func play() (result int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		return couldNot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	s := &setting{log: &record{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if p := recover(); p != nil {
			s.log.line("the case could not run: %v", p)
			result = couldNot
		}
		for _, n := range s.nodes {
			n.end()
		}
		if keep := os.Getenv("KEEP_LOGS"); keep == "" && s.folder != "" {
			os.RemoveAll(s.folder)
		} else {
			fmt.Println("logs of the nodes:", s.folder)
		}
		s.log.line("result %d", result)
		fmt.Println("result", result)
	}()
	s.folder, err = os.MkdirTemp("", "cassiapin-review-")
	must(err)
	if _, err := os.Stat(program); err != nil {
		panic(err)
	}
	return cases[os.Args[1]](s)
}
