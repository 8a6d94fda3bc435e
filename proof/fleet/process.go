package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one process of a fleet. A restart keeps its arguments.
type Process struct {
	Name           string
	Role           string
	Domain         string
	Address        string
	PublicAddress  string // public, administration or health address
	Folder         string // data folder
	DiskFaultsFile string // file with the disk faults to inject; empty if the process has no disk
	binary         string
	arguments      []string
	logFile        string
	command        *exec.Cmd
	started        time.Time
	exited         chan struct{}
}

// Start starts or restarts the process.
//
//	err := process.Start()
func (process *Process) Start() error {
	output, err := os.OpenFile(process.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process.command = exec.Command(process.binary, process.arguments...)
	process.command.Stdout, process.command.Stderr = output, output
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		process.command = nil // Kill must not wait for a process that never started
		return err
	}
	process.started, process.exited = time.Now(), make(chan struct{})
	command, exited := process.command, process.exited
	go func() {
		_ = command.Wait() // tests kill processes; a crash is found in the log
		close(exited)
	}()
	return nil
}

func (process *Process) signal(signal syscall.Signal) {
	if process.command != nil {
		_ = process.command.Process.Signal(signal) // fails only if the process has exited
	}
}

// PID returns the process ID, or 0 while the process does not run.
//
//	usage, err := scale.UsageOf(process.PID())
func (process *Process) PID() int {
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}

// Kill sends SIGKILL and waits until the process has exited.
//
//	process.Kill()
func (process *Process) Kill() {
	if process.command == nil {
		return
	}
	process.signal(syscall.SIGKILL)
	<-process.exited
	process.command = nil
}

// Terminate sends SIGTERM, which makes the process drain, and waits until it has exited or the
// context ends.
//
//	err := process.Terminate(ctx)
func (process *Process) Terminate(ctx context.Context) error {
	process.signal(syscall.SIGTERM)
	select {
	case <-process.exited:
		process.command = nil
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pause suspends the process with SIGSTOP until Resume.
//
//	process.Pause()
func (process *Process) Pause() { process.signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
//
//	process.Resume()
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Wipe removes the data folder. The process must not be running.
//
//	err := process.Wipe()
func (process *Process) Wipe() error { return os.RemoveAll(process.Folder) }
