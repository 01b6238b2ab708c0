// Command review3 plays the cases of the third review: it starts the project's own programs as
// separate processes, stands in for the platform around them, and checks one rule.
package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	troubleName  = "TROUBLE"
	troubleUnset = "0"
)

// playCase plays a case and reports whether its rule was broken.
type playCase func(l *Lab) (broken bool, err error)

var cases = map[string]playCase{
	"late-hold":    lateHold,
	"endless-head": endlessHead,
	// The following are searches without a case; see REPORT-2.md.
	"silent-store": silentStore,
	"map-storm":    mapStorm,
}

func main() {
	endWithParent()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE TEMPORARY-FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// endWithParent has the kernel end this process, and with it all that it has started, when the script
// that started it is killed.
func endWithParent() {
	runtime.LockOSThread() // the setting is that of a thread
	const setParentDeathSignal = 1
	if _, _, err := syscall.RawSyscall(syscall.SYS_PRCTL, setParentDeathSignal, uintptr(syscall.SIGTERM), 0); err != 0 {
		fmt.Fprintln(os.Stderr, "set the signal at the end of the parent:", err)
	}
}

func play(name, dir, record string) int {
	l, err := newLab(dir, record, os.Getenv(troubleName) != troubleUnset)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	broken, err := cases[name](l)
	switch {
	case err != nil:
		l.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		l.log("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	l.log("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
