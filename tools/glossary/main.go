// Command glossary checks that the words which docs/glossary.md withdraws stand in none of
// the packages that are finished. It looks at the names that a package declares, word by
// word, and at its comments. Generated files are passed over, and so are single names that
// the list excepts with a reason: in one package, where they are declared, and as whole words
// of its comments. An exception that excepts nothing is a finding itself.
//
//	glossary -root .. -words glossary/withdrawn.txt
//
// It prints one line per finding and ends with code 1 if there is one, with code 2 if a
// file cannot be read.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"unicode"
)

// Exit codes.
const (
	exitFound      = 1 // a withdrawn word was found
	exitUnreadable = 2 // a file cannot be read, or a line of the list cannot be parsed
)

// list is the content of the list of withdrawn words.
type list struct {
	// names are the words that no declared name may contain, with the standard term.
	names map[string]string
	// comments are the words that no comment may contain, with the standard term.
	comments map[string]string
	// packages are the folders, from the root, that are finished.
	packages []string
	// exceptions are the names that may be declared all the same, and say why.
	exceptions map[exception]string
}

// exception is one name that one package may declare although it has a withdrawn word.
type exception struct{ folder, name string }

// finding is one withdrawn word in a file.
type finding struct {
	position token.Position
	where    string
	word     string
	standard string
}

func main() {
	root := flag.String("root", ".", "the repository's folder")
	words := flag.String("words", "tools/glossary/withdrawn.txt", "the list of withdrawn words")
	flag.Parse()
	withdrawn, err := readList(*words)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnreadable)
	}
	found := 0
	for _, folder := range withdrawn.packages {
		findings, err := checkPackage(*root, folder, withdrawn)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUnreadable)
		}
		for _, one := range findings {
			fmt.Printf("%s: %s has %q; the standard term is %s\n", one.position, one.where, one.word, one.standard)
		}
		found += len(findings)
	}
	if found > 0 {
		os.Exit(exitFound)
	}
}

// readList reads lines of the form "name WORD = TERM", "comment WORD = TERM", "both WORD =
// TERM", "package FOLDER" and "except FOLDER NAME = REASON". Empty lines and lines that begin with # are passed over.
func readList(path string) (list, error) {
	withdrawn := list{names: map[string]string{}, comments: map[string]string{}, exceptions: map[exception]string{}}
	file, err := os.Open(path)
	if err != nil {
		return withdrawn, fmt.Errorf("read the withdrawn words: %w", err)
	}
	defer file.Close() //nolint:errcheck // the file was only read
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		if err := withdrawn.add(strings.TrimSpace(lines.Text())); err != nil {
			return withdrawn, fmt.Errorf("%s:%d: %w", path, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return withdrawn, fmt.Errorf("read the withdrawn words: %w", err)
	}
	return withdrawn, withdrawn.checkExceptions()
}

// checkExceptions returns an error for an exception in a package that is not checked.
func (withdrawn *list) checkExceptions() error {
	for one := range withdrawn.exceptions {
		if !slices.Contains(withdrawn.packages, one.folder) {
			return fmt.Errorf("%s is excepted in %s, which no package line names: remove the exception or add the line", one.name, one.folder)
		}
	}
	return nil
}

var errMalformed = errors.New(`write "name WORD = TERM", "comment WORD = TERM", "both WORD = TERM", "package FOLDER" or "except FOLDER NAME = REASON"`)

func (withdrawn *list) add(text string) error {
	if text == "" || strings.HasPrefix(text, "#") {
		return nil
	}
	kind, rest, _ := strings.Cut(text, " ")
	if kind == "package" && rest != "" {
		withdrawn.packages = append(withdrawn.packages, rest)
		return nil
	}
	word, term, isPair := strings.Cut(rest, " = ")
	if !isPair || word == "" || term == "" {
		return errMalformed
	}
	switch kind {
	case "except":
		folder, name, isPair := strings.Cut(word, " ")
		if !isPair || !token.IsIdentifier(name) {
			return errMalformed
		}
		withdrawn.exceptions[exception{folder, name}] = term
	case "name":
		withdrawn.names[word] = term
	case "comment":
		withdrawn.comments[word] = term
	case "both":
		withdrawn.names[word], withdrawn.comments[word] = term, term
	default:
		return errMalformed
	}
	return nil
}

// checkPackage looks at the Go files of one folder, not at those below it.
func checkPackage(root, folder string, withdrawn list) ([]finding, error) {
	path := filepath.Join(root, folder)
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("read the package: %w", err)
	}
	var findings []finding
	check := checker{withdrawn: withdrawn, folder: folder, excepted: map[string]bool{}}
	for _, entry := range entries {
		if entry.IsDir() || entry.Type()&fs.ModeType != 0 || !strings.HasSuffix(entry.Name(), ".go") {
			continue
		}
		files := token.NewFileSet()
		parsed, err := parser.ParseFile(files, filepath.Join(path, entry.Name()), nil, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("parse the package: %w", err)
		}
		if ast.IsGenerated(parsed) {
			continue
		}
		findings = append(findings, check.names(files, parsed)...)
		findings = append(findings, check.comments(files, parsed)...)
	}
	return append(findings, check.unusedExceptions(path)...), nil
}

// checker checks the files of one package.
type checker struct {
	withdrawn list
	folder    string
	// excepted are the names that an exception let pass.
	excepted map[string]bool
}

// isExcepted reports whether the package may declare a name that has a withdrawn word.
func (check *checker) isExcepted(name string) bool {
	_, found := check.withdrawn.exceptions[exception{check.folder, name}]
	if found {
		check.excepted[name] = true
	}
	return found
}

// unusedExceptions are the exceptions of the package that let no name pass, sorted.
func (check *checker) unusedExceptions(path string) []finding {
	var findings []finding
	for one, reason := range check.withdrawn.exceptions {
		if one.folder == check.folder && !check.excepted[one.name] {
			findings = append(findings, finding{token.Position{Filename: path}, "the exception for", one.name, "none, as nothing is excepted (" + reason + "): remove the line"})
		}
	}
	slices.SortFunc(findings, func(left, right finding) int { return strings.Compare(left.word, right.word) })
	return findings
}

// names looks at each name where it is declared.
func (check *checker) names(files *token.FileSet, parsed *ast.File) []finding {
	var findings []finding
	look := func(names ...*ast.Ident) {
		for _, name := range names {
			for _, word := range wordsOf(name.Name) {
				if term, ok := check.withdrawn.names[word]; ok && !check.isExcepted(name.Name) {
					findings = append(findings, finding{files.Position(name.Pos()), "the name " + name.Name, word, term})
				}
			}
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			look(node.Name)
		case *ast.TypeSpec:
			look(node.Name)
		case *ast.ValueSpec:
			look(node.Names...)
		case *ast.Field:
			look(node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				look(identifiers(node.Lhs)...)
			}
		case *ast.RangeStmt:
			if node.Tok == token.DEFINE {
				look(identifiers([]ast.Expr{node.Key, node.Value})...)
			}
		}
		return true
	})
	return findings
}

func identifiers(expressions []ast.Expr) []*ast.Ident {
	var names []*ast.Ident
	for _, expression := range expressions {
		if name, ok := expression.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// wordsOf splits a name in camel case into its words, in lower case.
func wordsOf(name string) []string {
	var words []string
	start := 0
	runes := []rune(name)
	for at := 1; at < len(runes); at++ {
		nextIsLower := at+1 < len(runes) && unicode.IsLower(runes[at+1])
		if unicode.IsUpper(runes[at]) && (!unicode.IsUpper(runes[at-1]) || nextIsLower) || runes[at] == '_' {
			words = append(words, strings.ToLower(string(runes[start:at])))
			start = at
		}
	}
	return append(words, strings.ToLower(string(runes[start:])))
}

var wordPattern = regexp.MustCompile(`[A-Za-z]+`)

// comments looks at the words of comments. Names that a comment cites in camel case
// are left to names, and so is what stands in quotation marks or backticks: texts that
// go to the wire or the disk are cited like that.
func (check *checker) comments(files *token.FileSet, parsed *ast.File) []finding {
	quoted := regexp.MustCompile("\"[^\"]*\"|`[^`]*`")
	var findings []finding
	for _, group := range parsed.Comments {
		for _, comment := range group.List {
			if strings.HasPrefix(comment.Text, "//go:") {
				continue
			}
			for _, word := range wordPattern.FindAllString(quoted.ReplaceAllString(comment.Text, ""), -1) {
				lower := strings.ToLower(word)
				if term, ok := check.withdrawn.comments[lower]; ok && !check.isExcepted(word) {
					findings = append(findings, finding{files.Position(comment.Pos()), "a comment", lower, term})
				}
			}
		}
	}
	return findings
}
