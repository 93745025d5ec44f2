package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

func main() { os.Exit(run()) }

// run plays the case named by the first argument; the second is the folder for
// record.txt. TROUBLE=0 leaves the disruption out.
func run() int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return couldNotRun
	}
	name, out := os.Args[1], os.Args[2]
	trouble := os.Getenv("TROUBLE") != "0"
	play, known := map[string]func(*fleet, bool) (bool, error){
		"lost-5":               func(f *fleet, trouble bool) (bool, error) { return lostMachines(f, trouble, 5) },
		"lost-6":               func(f *fleet, trouble bool) (bool, error) { return lostMachines(f, trouble, 6) },
		"lost-7":               func(f *fleet, trouble bool) (bool, error) { return lostMachines(f, trouble, 7) },
		"silent-store-at-stop": silentStoreAtStop,
		"many-headers":         manyHeaders,
		"large-entries":        largeEntries,
	}[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return couldNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	places := vaxmynd()
	if name == "many-headers" {
		places = places[:3] // One machine in each zone.
	}
	f, err := newFleet(folder, filepath.Join(out, "record.txt"), places)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer f.stop()
	time.AfterFunc(timeLimit, func() {
		f.note("could not run: not ended after %v", timeLimit)
		f.stop()
		_ = os.RemoveAll(folder)
		os.Exit(couldNotRun)
	})
	f.note("case %s, trouble %v, %d machines", name, trouble, len(f.machines))
	if !f.awaitReady(20 * time.Second) {
		f.note("the machines do not become ready")
		return couldNotRun
	}
	f.note("all machines are ready")
	ok, err := play(f, trouble)
	if err != nil {
		f.note("could not run: %v", err)
		return couldNotRun
	}
	if !ok {
		f.note("broken")
		return broken
	}
	f.note("held")
	return held
}
