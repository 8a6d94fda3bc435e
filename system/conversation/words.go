package conversation

import (
	"strings"
	"unicode"
)

// WordCounter counts the words of a text that arrives in parts. A part may end within a word. A
// word is a maximal sequence of characters other than white space. The zero value is ready to
// use.
type WordCounter struct {
	Count  uint64
	inWord bool
}

// CountUpTo counts the words of the next part of a text and stops before the word that would
// raise Count above limit. It returns the text up to there and reports whether that is the whole
// part.
//
//	accepted, fits := counter.CountUpTo(part, 500)
func (counter *WordCounter) CountUpTo(text string, limit uint64) (accepted string, fits bool) {
	for position, character := range text {
		isSpace := unicode.IsSpace(character)
		if !isSpace && !counter.inWord {
			if counter.Count == limit {
				return text[:position], false
			}
			counter.Count++
		}
		counter.inWord = !isSpace
	}
	return text, true
}

// CountWords returns the number of words in a text.
//
//	words := conversation.CountWords("three short words")
func CountWords(text string) uint64 {
	return uint64(len(strings.Fields(text)))
}
