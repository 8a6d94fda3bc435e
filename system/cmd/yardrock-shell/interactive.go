package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/peterh/liner"

	"yardrock.example/system/querylanguage"
)

// interact reads lines with history and completion until end of input.
func (shell *shell) interact() {
	line := liner.NewLiner()
	defer line.Close()
	line.SetCtrlCAborts(true)
	line.SetCompleter(complete)
	history := ""
	if home, err := os.UserHomeDir(); err == nil {
		history = filepath.Join(home, ".yardrock_history")
		if file, err := os.Open(history); err == nil {
			line.ReadHistory(file)
			file.Close()
		}
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
		line.WriteHistory(file)
		file.Close()
	}
}

// complete offers what may follow a beginning.
func complete(prefix string) []string {
	completions := []string{"set weight ", "set allowance ", "set limit ", "empty domain ", "refill domain ", "enrol store ", "retire store ", "restore config "}
	for _, table := range querylanguage.Tables {
		completions = append(completions, "show "+table)
	}
	return slices.DeleteFunc(completions, func(offer string) bool { return !strings.HasPrefix(offer, prefix) })
}
