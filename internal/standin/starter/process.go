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

// The names of the programs of the repository: the load balancer and its stand-ins.
const (
	Balancer = "oriolecourse"
	Standin  = "standin"
)

const (
	// startTimeout limits the time from the start of a process until it is ready.
	startTimeout = 20 * time.Second
	// stopTimeout limits the time from SIGTERM until a process ends.
	stopTimeout = 60 * time.Second
	// pollInterval is the delay between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// programDirectory is the directory of the built programs. Main sets it.
var programDirectory string

// Main builds the programs, runs the tests, removes the programs and returns the exit
// code. Call it in TestMain: os.Exit(starter.Main(m)).
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
	programDirectory = directory
	return m.Run()
}

// build compiles all programs under cmd into the directory.
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

// Process is a started program. If it still runs when its test ends, it is killed.
type Process struct {
	Name    string
	command *exec.Cmd
	output  *buffer
	// done is closed when the process has ended.
	done chan struct{}
}

// Start starts a program. If the test fails, it logs the output of the program.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, output: &buffer{}, done: make(chan struct{})}
	p.command = exec.Command(filepath.Join(programDirectory, program), args...)
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		t.Fatalf("starting %s failed: %v", name, err)
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

// Run runs a program until it ends and returns its output and exit code.
func Run(t testing.TB, name, program string, args ...string) (string, int) {
	t.Helper()
	p := Start(t, name, program, args...)
	<-p.done
	return p.output.String(), p.command.ProcessState.ExitCode()
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM without waiting.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Stop sends SIGTERM, waits until the process has ended and returns the time that it
// took.
func (p *Process) Stop(t testing.TB) time.Duration {
	t.Helper()
	began := time.Now()
	p.Terminate()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		t.Fatalf("%s did not end in time after SIGTERM", p.Name)
	}
	return time.Since(began)
}

// Pause suspends the process until Continue is called.
func (p *Process) Pause() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Process) Continue() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of a process that has ended. It is -1 if a signal
// ended the process.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// The range of the loopback addresses that FreeAddresses returns. The IP address is derived
// from the process id. Two test processes have the same one only if their process ids
// differ by a multiple of 62500, the square of octetValues. The ports are below those that
// Linux assigns to outgoing connections, by default from 32768. So no other process takes
// an address between its allocation and its use.
const (
	firstPort = 10000
	lastPort  = 30000
	// octetValues is the number of values used for each of the two middle octets.
	octetValues = 250
)

// allocatedPorts is the number of ports that have been allocated.
var allocatedPorts atomic.Uint32

// FreeAddresses returns n loopback addresses that no other process uses.
func FreeAddresses(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(1 + pid/octetValues%octetValues), byte(1 + pid%octetValues), 1})
	addresses := make([]netip.AddrPort, n)
	for i := range addresses {
		port := firstPort + allocatedPorts.Add(1)
		if port > lastPort {
			t.Fatal("the test process has allocated all of its ports")
		}
		addresses[i] = netip.AddrPortFrom(host, uint16(port))
	}
	return addresses
}

// Eventually waits until the condition holds and returns the time that it took. If the
// condition does not hold within the limit, the test fails with the description.
func Eventually(t testing.TB, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			t.Fatalf("condition not met within %s: %s", limit, description)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// buffer holds the output of a process. Several goroutines may use it at a time.
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
