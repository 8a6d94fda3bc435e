package simulator

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"yardrock.example/system/httpapi"
)

func newReader(data []byte) io.Reader { return bytes.NewReader(data) }

func wordsOf(text string) []string { return strings.Fields(text) }

func errorKind(err error) string {
	var failure *httpapi.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}
