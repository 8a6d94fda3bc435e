// Command glossary reports withdrawn words in the declared names and comments of the listed
// packages. Generated files are skipped. An exception allows one name in one package, both
// where it is declared and as a whole word in comments; an unused exception is reported too.
//
//	glossary -root .. -words glossary/withdrawn.txt
//
// It prints one finding per line and exits with code 1 if there are any, or with code 2 if
// the word list or a source file cannot be read.
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
	exitFindings = 1 // a withdrawn word or an unused exception was found
	exitError    = 2 // the word list or a source file cannot be read or parsed
)

// wordList is the parsed list of withdrawn words.
type wordList struct {
	// nameTerms maps words that are not allowed in declared names to their standard terms.
	nameTerms map[string]string
	// commentTerms maps words that are not allowed in comments to their standard terms.
	commentTerms map[string]string
	// packages are the directories to check, relative to the root.
	packages []string
	// exceptions maps each allowed name to the reason for allowing it.
	exceptions map[exception]string
}

// exception allows one package to use a name that contains a withdrawn word.
type exception struct{ dir, name string }

// finding is a withdrawn word in a file, or an unused exception of a package.
type finding struct {
	position token.Position
	message  string
}

func main() {
	root := flag.String("root", ".", "root directory of the repository")
	listPath := flag.String("words", "tools/glossary/withdrawn.txt", "file that lists the withdrawn words")
	flag.Parse()
	words, err := readWordList(*listPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	count := 0
	for _, dir := range words.packages {
		findings, err := checkPackage(*root, dir, words)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitError)
		}
		for _, f := range findings {
			fmt.Printf("%s: %s\n", f.position, f.message)
		}
		count += len(findings)
	}
	if count > 0 {
		os.Exit(exitFindings)
	}
}

// readWordList parses lines of the form "name WORD = TERM", "comment WORD = TERM",
// "both WORD = TERM", "package DIR" and "except DIR NAME = REASON". Empty lines and lines
// that start with # are ignored.
func readWordList(path string) (wordList, error) {
	words := wordList{nameTerms: map[string]string{}, commentTerms: map[string]string{}, exceptions: map[exception]string{}}
	file, err := os.Open(path)
	if err != nil {
		return words, fmt.Errorf("read word list: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		if err := words.addLine(strings.TrimSpace(scanner.Text())); err != nil {
			return words, fmt.Errorf("%s:%d: %w", path, number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return words, fmt.Errorf("read word list: %w", err)
	}
	return words, words.validateExceptions()
}

// validateExceptions returns an error if an exception belongs to a package that is not checked.
func (words *wordList) validateExceptions() error {
	for e := range words.exceptions {
		if !slices.Contains(words.packages, e.dir) {
			return fmt.Errorf("exception for %s in %s, which has no package line: remove the exception or add the package", e.name, e.dir)
		}
	}
	return nil
}

var errMalformedLine = errors.New(`malformed line: want "name WORD = TERM", "comment WORD = TERM", "both WORD = TERM", "package DIR" or "except DIR NAME = REASON"`)

func (words *wordList) addLine(line string) error {
	if line == "" || strings.HasPrefix(line, "#") {
		return nil
	}
	kind, rest, _ := strings.Cut(line, " ")
	if kind == "package" && rest != "" {
		words.packages = append(words.packages, rest)
		return nil
	}
	key, value, ok := strings.Cut(rest, " = ")
	if !ok || key == "" || value == "" {
		return errMalformedLine
	}
	switch kind {
	case "except":
		dir, name, ok := strings.Cut(key, " ")
		if !ok || !token.IsIdentifier(name) {
			return errMalformedLine
		}
		words.exceptions[exception{dir, name}] = value
	case "name":
		words.nameTerms[key] = value
	case "comment":
		words.commentTerms[key] = value
	case "both":
		words.nameTerms[key], words.commentTerms[key] = value, value
	default:
		return errMalformedLine
	}
	return nil
}

// checkPackage checks the Go files in one directory, without its subdirectories.
func checkPackage(root, dir string, words wordList) ([]finding, error) {
	path := filepath.Join(root, dir)
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("read package: %w", err)
	}
	var findings []finding
	c := checker{words: words, dir: dir, usedExceptions: map[string]bool{}}
	for _, entry := range entries {
		if entry.IsDir() || entry.Type()&fs.ModeType != 0 || !strings.HasSuffix(entry.Name(), ".go") {
			continue
		}
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, filepath.Join(path, entry.Name()), nil, parser.ParseComments)
		if err != nil {
			return nil, fmt.Errorf("parse package: %w", err)
		}
		if ast.IsGenerated(file) {
			continue
		}
		findings = append(findings, c.checkNames(fileSet, file)...)
		findings = append(findings, c.checkComments(fileSet, file)...)
	}
	return append(findings, c.unusedExceptions(path)...), nil
}

// checker checks the files of one package.
type checker struct {
	words wordList
	dir   string
	// usedExceptions holds the names that an exception has allowed so far.
	usedExceptions map[string]bool
}

// allowedByException reports whether an exception allows name, and marks that exception as used.
func (c *checker) allowedByException(name string) bool {
	_, ok := c.words.exceptions[exception{c.dir, name}]
	if ok {
		c.usedExceptions[name] = true
	}
	return ok
}

// unusedExceptions returns a finding for each exception that allowed no name, sorted by name.
func (c *checker) unusedExceptions(path string) []finding {
	var findings []finding
	for e, reason := range c.words.exceptions {
		if e.dir == c.dir && !c.usedExceptions[e.name] {
			findings = append(findings, finding{token.Position{Filename: path}, fmt.Sprintf("unused exception for %q (%s); remove the line", e.name, reason)})
		}
	}
	slices.SortFunc(findings, func(left, right finding) int { return strings.Compare(left.message, right.message) })
	return findings
}

// checkNames checks each name at its declaration.
func (c *checker) checkNames(fileSet *token.FileSet, file *ast.File) []finding {
	var findings []finding
	check := func(names ...*ast.Ident) {
		for _, name := range names {
			for _, word := range splitWords(name.Name) {
				if term, ok := c.words.nameTerms[word]; ok && !c.allowedByException(name.Name) {
					findings = append(findings, finding{fileSet.Position(name.Pos()), fmt.Sprintf("name %s contains %q; the standard term is %s", name.Name, word, term)})
				}
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			check(node.Name)
		case *ast.TypeSpec:
			check(node.Name)
		case *ast.ValueSpec:
			check(node.Names...)
		case *ast.Field:
			check(node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				check(identifiers(node.Lhs)...)
			}
		case *ast.RangeStmt:
			if node.Tok == token.DEFINE {
				check(identifiers([]ast.Expr{node.Key, node.Value})...)
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

// splitWords splits an identifier in camel case into words in lower case.
func splitWords(identifier string) []string {
	var words []string
	start := 0
	runes := []rune(identifier)
	for i := 1; i < len(runes); i++ {
		nextIsLower := i+1 < len(runes) && unicode.IsLower(runes[i+1])
		if unicode.IsUpper(runes[i]) && (!unicode.IsUpper(runes[i-1]) || nextIsLower) || runes[i] == '_' {
			words = append(words, strings.ToLower(string(runes[start:i])))
			start = i
		}
	}
	return append(words, strings.ToLower(string(runes[start:])))
}

var wordPattern = regexp.MustCompile(`[A-Za-z]+`)

// checkComments checks the words of comments. It ignores text in quotation marks or backticks,
// which cites wire and storage formats. Identifiers in camel case are left to checkNames.
func (c *checker) checkComments(fileSet *token.FileSet, file *ast.File) []finding {
	quoted := regexp.MustCompile("\"[^\"]*\"|`[^`]*`")
	var findings []finding
	for _, group := range file.Comments {
		for _, comment := range group.List {
			if strings.HasPrefix(comment.Text, "//go:") {
				continue
			}
			for _, word := range wordPattern.FindAllString(quoted.ReplaceAllString(comment.Text, ""), -1) {
				lower := strings.ToLower(word)
				if term, ok := c.words.commentTerms[lower]; ok && !c.allowedByException(word) {
					findings = append(findings, finding{fileSet.Position(comment.Pos()), fmt.Sprintf("comment contains %q; the standard term is %s", lower, term)})
				}
			}
		}
	}
	return findings
}
