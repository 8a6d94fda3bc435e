package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one process of a fleet. Its arguments stay the same over restarts.
type Process struct {
	Name          string
	Role          string
	Domain        string
	Address       string
	PublicAddress string // public, administration or health address
	Folder        string
	Faults        string // the file that names disk faults, if the process has a disk
	binary        string
	arguments     []string
	log           string
	command       *exec.Cmd
	started       time.Time
	exited        chan struct{}
}

// Start starts the process, or starts it again with the same arguments.
//
//	err := process.Start()
func (process *Process) Start() error {
	output, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process.command = exec.Command(process.binary, process.arguments...)
	process.command.Stdout, process.command.Stderr = output, output
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		process.command = nil // nothing runs that could be ended
		return err
	}
	process.started, process.exited = time.Now(), make(chan struct{})
	command, waited := process.command, process.exited
	go func() {
		command.Wait()
		close(waited)
	}()
	return nil
}

func (process *Process) signal(signal syscall.Signal) {
	if process.command != nil {
		process.command.Process.Signal(signal)
	}
}

// PID is the number that the system gave the process; 0 while it does not run.
//
//	usage, err := scale.UsageOf(process.PID())
func (process *Process) PID() int {
	if process.command == nil {
		return 0
	}
	return process.command.Process.Pid
}

// Kill ends the process at once.
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

// Terminate asks the process to drain and waits until it has gone.
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

// Pause stops the process where it is; Wake lets it go on.
//
//	process.Pause()
func (process *Process) Pause() { process.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
//
//	process.Resume()
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Wipe empties the data folder of a process that is not running.
//
//	err := process.Wipe()
func (process *Process) Wipe() error { return os.RemoveAll(process.Folder) }
