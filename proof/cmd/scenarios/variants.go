package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// baseVariant is the name of the variant that all others are compared with: the repository's
// checked-out commit without a patch.
const baseVariant = "base"

// errVariants is returned for an invalid list of variants.
var errVariants = errors.New("--variants needs at least one NAME=PATCH, with unique names other than " + baseVariant)

// variant is one version of the system in a comparison.
type variant struct {
	name  string
	patch string // path of the patch; "": the commit without a patch
}

// patchError is returned for a patch that does not apply to the repository's commit.
type patchError struct {
	variant variant
	output  string // combined output of git apply
}

// Error names the patch and includes git's output.
func (e *patchError) Error() string {
	return fmt.Sprintf("variant %s: %s does not apply to the repository's commit; recreate the patch: %s", e.variant.name, e.variant.patch, e.output)
}

// parseVariants parses a list NAME=PATCH,... and prepends the base.
func parseVariants(text string) ([]variant, error) {
	variants := []variant{{name: baseVariant}}
	seen := map[string]bool{baseVariant: true}
	for item := range strings.SplitSeq(text, ",") {
		name, patch, found := strings.Cut(item, "=")
		if !found || name == "" || patch == "" || seen[name] {
			return nil, errVariants
		}
		if _, err := os.Stat(patch); err != nil {
			return nil, fmt.Errorf("variant %s: %w", name, err)
		}
		seen[name] = true
		variants = append(variants, variant{name: name, patch: patch})
	}
	return variants, nil
}

// checkOut clones the repository's commit into a directory and applies the variant's patch. It
// removes the directory on failure.
func (variant variant) checkOut(ctx context.Context, repository, dir string) (err error) {
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.RemoveAll(dir))
		}
	}()
	if output, err := exec.CommandContext(ctx, "git", "clone", "--quiet", "--shared", repository, dir).CombinedOutput(); err != nil {
		return fmt.Errorf("cloning %s: %w: %s", repository, err, output)
	}
	if variant.patch == "" {
		return nil
	}
	patch, err := filepath.Abs(variant.patch)
	if err != nil {
		return err
	}
	apply := exec.CommandContext(ctx, "git", "apply", "--whitespace=nowarn", patch)
	apply.Dir = dir
	if output, err := apply.CombinedOutput(); err != nil {
		return &patchError{variant: variant, output: strings.TrimSpace(string(output))}
	}
	return nil
}

// journalDir is the bench's journal directory within a repository.
const journalDir = "journal"

// copyJournal copies the journal entries of a clone to the repository's journal, so that those of
// rejected variants are kept too. It does not overwrite existing entries.
func copyJournal(clone, repository string) error {
	from := filepath.Join(clone, journalDir)
	return filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(repository, journalDir, relative)
		if _, err := os.Stat(target); err == nil {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		return os.WriteFile(target, content, 0o644)
	})
}
