package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterh/liner"

	"yardrock.example/system/querylanguage"
)

// interact reads lines from the terminal and runs them, with history and completion, until
// the end of input. Errors of the history file are ignored.
func (shell *shell) interact() {
	line := liner.NewLiner()
	defer func() { _ = line.Close() }() // restores the terminal
	line.SetCtrlCAborts(true)
	line.SetCompleter(complete)
	history := historyFile()
	if file, err := os.Open(history); err == nil {
		_, _ = line.ReadHistory(file)
		file.Close()
	}
	for {
		text, err := line.Prompt("yardrock> ")
		if err != nil {
			break
		}
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		if text == "exit" || text == "quit" {
			break
		}
		line.AppendHistory(text)
		shell.run(text)
	}
	if file, err := os.Create(history); err == nil {
		_, _ = line.WriteHistory(file)
		file.Close()
	}
}

// historyFile returns the path of the history file, or "" if there is no home directory; the
// history is not saved then.
func historyFile() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, ".yardrock_history")
}

// complete returns the completions of a prefix.
func complete(prefix string) []string {
	completions := []string{"set weight ", "set allowance ", "set limit ", "empty domain ", "refill domain ", "enrol store ", "retire store ", "restore config "}
	for _, table := range querylanguage.Tables {
		completions = append(completions, "show "+table)
	}
	return slices.DeleteFunc(completions, func(completion string) bool { return !strings.HasPrefix(completion, prefix) })
}
