package fleet

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one process of a fleet. It keeps its arguments when it is restarted.
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
		process.command = nil // there is no process to end
		return err
	}
	process.started, process.exited = time.Now(), make(chan struct{})
	command, waited := process.command, process.exited
	go func() {
		_ = command.Wait() // processes are killed as a matter of course; a crash shows in the log
		close(waited)
	}()
	return nil
}

func (process *Process) signal(signal syscall.Signal) {
	if process.command != nil {
		_ = process.command.Process.Signal(signal) // fails only if the process has ended
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

// Kill ends the process by SIGKILL and waits for its end.
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

// Terminate has the process drain, by SIGTERM, and waits for its end.
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

// Pause stops the process by SIGSTOP, until Resume.
//
//	process.Pause()
func (process *Process) Pause() { process.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
//
//	process.Resume()
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Wipe empties the data folder of a process that is not running.
//
//	err := process.Wipe()
func (process *Process) Wipe() error { return os.RemoveAll(process.Folder) }
