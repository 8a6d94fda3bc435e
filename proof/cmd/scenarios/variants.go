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

// baseVariant is the name of the version that all others are compared with: the commit that
// the repository has checked out, without a patch.
const baseVariant = "base"

// errVariants is returned for a list of variants that cannot be compared.
var errVariants = errors.New("--variants needs at least one NAME=PATCH, each name once and none called " + baseVariant)

// variant is one version of the system in a comparison.
type variant struct {
	name  string
	patch string // path of a patch of the repository; "" plays the commit as it is
}

// patchError is returned for a patch that does not apply to the repository's commit.
type patchError struct {
	variant variant
	output  string // of git
}

// Error says which patch does not apply, and why.
func (failure *patchError) Error() string {
	return fmt.Sprintf("variant %s: %s does not apply to the repository's commit; make it anew: %s", failure.variant.name, failure.variant.patch, failure.output)
}

// parseVariants reads a list NAME=PATCH,NAME=PATCH and puts the base before it.
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

// checkOut clones the repository's commit into a folder and applies the variant's patch. The
// folder is removed again if that fails.
func (version variant) checkOut(ctx context.Context, repository, folder string) (err error) {
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.RemoveAll(folder))
		}
	}()
	if output, err := exec.CommandContext(ctx, "git", "clone", "--quiet", "--shared", repository, folder).CombinedOutput(); err != nil {
		return fmt.Errorf("cloning %s: %w: %s", repository, err, output)
	}
	if version.patch == "" {
		return nil
	}
	patch, err := filepath.Abs(version.patch)
	if err != nil {
		return err
	}
	apply := exec.CommandContext(ctx, "git", "apply", "--whitespace=nowarn", patch)
	apply.Dir = folder
	if output, err := apply.CombinedOutput(); err != nil {
		return &patchError{variant: version, output: strings.TrimSpace(string(output))}
	}
	return nil
}

// journalFolder is where the bench keeps the journal of a repository.
const journalFolder = "journal"

// keepJournal copies the entries that the bench made in a clone to the repository's journal, so
// that also those of variants which are not taken over are kept. Entries that are there stay.
func keepJournal(clone, repository string) error {
	from := filepath.Join(clone, journalFolder)
	return filepath.WalkDir(from, func(path string, item os.DirEntry, err error) error {
		if err != nil || item.IsDir() {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(repository, journalFolder, relative)
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
