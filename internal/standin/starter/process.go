package starter

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"
)

// The programs of the repository.
const (
	System  = "oriolecourse"
	Standin = "standin"
)

const (
	// startTimeout bounds the start of one process.
	startTimeout = 20 * time.Second
	// stopTimeout bounds a stop after SIGTERM.
	stopTimeout = 60 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 10 * time.Millisecond
)

// programs is the directory of the built programs; Main sets it.
var programs string

// Main builds the programs, runs the tests and removes the programs. Call it in
// TestMain: os.Exit(starter.Main(m)).
func Main(m *testing.M) int {
	directory, err := os.MkdirTemp("", "oriolecourse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := build(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = directory
	return m.Run()
}

// build compiles every program under cmd into the directory.
func build(directory string) error {
	root, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return trace.Wrap(err)
	}
	c := exec.Command("go", "build", "-o", directory+"/", "./cmd/...")
	c.Dir = filepath.Dir(string(bytes.TrimSpace(root)))
	if output, err := c.CombinedOutput(); err != nil {
		return trace.Wrap(err, "%s", output)
	}
	return nil
}

// Process is one started program. It is killed at the end of its test at the
// latest.
type Process struct {
	Name    string
	command *exec.Cmd
	output  *buffer
	// done is closed when the process has ended.
	done chan struct{}
}

// Start runs a program.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, output: &buffer{}, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(programs, program), args...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	go func() {
		defer close(p.done)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, p.output)
		}
	})
	return p
}

// Run runs a program to its end and returns its output and exit code.
func Run(t testing.TB, name, program string, args ...string) (string, int) {
	t.Helper()
	p := Start(t, name, program, args...)
	<-p.done
	return p.output.String(), p.command.ProcessState.ExitCode()
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to end, and doesn't wait.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Stop asks the process to end and returns how long that took.
func (p *Process) Stop(t testing.TB) time.Duration {
	t.Helper()
	began := time.Now()
	p.Terminate()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not stop", p.Name)
	}
	return time.Since(began)
}

// Pause stops the process from running until Continue.
func (p *Process) Pause() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Continue lets a paused process run.
func (p *Process) Continue() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of an ended process; it is below 0 after a
// signal.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// The loopback addresses of the processes that one test process starts. Each test
// process has an address of its own, and the ports lie below those that the system
// gives to outgoing connections, so that nobody else takes them in between.
const (
	firstPort = 10000
	lastPort  = 30000
	octets    = 250
)

// taken counts the ports that have been given out.
var taken atomic.Uint32

// Ports returns n loopback addresses that nobody else uses.
func Ports(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(1 + pid/octets%octets), byte(1 + pid%octets), 1})
	addresses := make([]netip.AddrPort, n)
	for i := range addresses {
		port := firstPort + taken.Add(1)
		if port > lastPort {
			t.Fatal("all ports of the test process have been given out")
		}
		addresses[i] = netip.AddrPortFrom(host, uint16(port))
	}
	return addresses
}

// Eventually waits until the condition holds; what is printed if it never does.
func Eventually(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// buffer collects output from several goroutines.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends output.
func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the output so far.
func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
