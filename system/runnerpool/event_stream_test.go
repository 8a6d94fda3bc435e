package runnerpool

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"yardrock.example/system/apierror"
)

// chunkReader returns one chunk per read, and err after the last chunk.
type chunkReader struct {
	chunks     [][]byte
	err        error
	extraReads int // reads after the last chunk
}

func (pieces *chunkReader) Read(target []byte) (int, error) {
	if len(pieces.chunks) == 0 {
		pieces.extraReads++
		return 0, pieces.err
	}
	count := copy(target, pieces.chunks[0])
	if pieces.chunks[0] = pieces.chunks[0][count:]; len(pieces.chunks[0]) == 0 {
		pieces.chunks = pieces.chunks[1:]
	}
	return count, nil
}

func (event Event) String() string {
	return fmt.Sprintf("%q id=%q data=%q %v", event.Raw, event.ID, event.Data, event.HasData)
}

func collect(events *EventReader) ([]string, error) {
	all := []string{}
	for {
		event, err := events.Next()
		if err != nil {
			return all, err
		}
		all = append(all, event.String())
	}
}

var streams = map[string]struct {
	text string
	want []Event
}{
	"plain":              {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []Event{{[]byte("id: 1\ndata: a\n\n"), "1", []byte("a"), true}, {[]byte("id: 2\ndata: b\n\n"), "2", []byte("b"), true}}},
	"CRLF":               {"id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", []Event{{[]byte("id: 1\r\ndata: a\r\n\r\n"), "1", []byte("a"), true}, {[]byte("data: b\r\n\r\n"), "", []byte("b"), true}}},
	"carriage return":    {"id: 1\rdata: a\r\rdata: b\r\r", []Event{{[]byte("id: 1\rdata: a\r\r"), "1", []byte("a"), true}, {[]byte("data: b\r\r"), "", []byte("b"), true}}},
	"mixed line ends":    {"id: 1\r\ndata: a\n\ndata: b\n\ndata: c\r\n\n", []Event{{[]byte("id: 1\r\ndata: a\n\n"), "1", []byte("a"), true}, {[]byte("data: b\n\n"), "", []byte("b"), true}, {[]byte("data: c\r\n\n"), "", []byte("c"), true}}},
	"many data lines":    {"data: a\ndata:b\ndata\ndata:  c\n\n", []Event{{[]byte("data: a\ndata:b\ndata\ndata:  c\n\n"), "", []byte("a\nb\n\n c"), true}}},
	"empty data":         {"data\n\ndata:\n\n", []Event{{[]byte("data\n\n"), "", nil, true}, {[]byte("data:\n\n"), "", nil, true}}},
	"comment":            {": ping\n\ndata: a\n\n", []Event{{[]byte(": ping\n\n"), "", nil, false}, {[]byte("data: a\n\n"), "", []byte("a"), true}}},
	"other fields":       {"weights: 4\nevent: x\nretry: 3\nDATA: n\nid : 7\ndata: a\n\n", []Event{{[]byte("weights: 4\nevent: x\nretry: 3\nDATA: n\nid : 7\ndata: a\n\n"), "", []byte("a"), true}}},
	"the last id":        {"id: 1\nid: 2\ndata: a\n\n", []Event{{[]byte("id: 1\nid: 2\ndata: a\n\n"), "2", []byte("a"), true}}},
	"id with a zero":     {"id: 1\x00\ndata: a\n\n", []Event{{[]byte("id: 1\x00\ndata: a\n\n"), "", []byte("a"), true}}},
	"blank lines":        {"\n\ndata: a\n\n\n", []Event{{Raw: []byte("\n")}, {Raw: []byte("\n")}, {[]byte("data: a\n\n"), "", []byte("a"), true}, {Raw: []byte("\n")}}},
	"byte order mark":    {"\xef\xbb\xbfdata: a\n\n\xef\xbb\xbfdata: b\n\n", []Event{{[]byte("\xef\xbb\xbfdata: a\n\n"), "", []byte("a"), true}, {[]byte("\xef\xbb\xbfdata: b\n\n"), "", nil, false}}},
	"no last blank line": {"data: a\n\ndata: b\n", []Event{{[]byte("data: a\n\n"), "", []byte("a"), true}, {Raw: []byte("data: b\n")}}},
	"no last line end":   {"data: a\n\ndata: b", []Event{{[]byte("data: a\n\n"), "", []byte("a"), true}, {Raw: []byte("data: b")}}},
	"long":               {"id: 9\ndata: " + strings.Repeat("x", 50_000) + "\n\ndata: b\n\n", []Event{{[]byte("id: 9\ndata: " + strings.Repeat("x", 50_000) + "\n\n"), "9", []byte(strings.Repeat("x", 50_000)), true}, {[]byte("data: b\n\n"), "", []byte("b"), true}}},
	"empty":              {"", nil},
}

func TestEventReaderSplitsAnyChunking(t *testing.T) {
	for name, test := range streams {
		t.Run(name, func(t *testing.T) {
			want := []string{}
			for _, event := range test.want {
				want = append(want, event.String())
			}
			readers := map[string]io.Reader{
				"whole":              strings.NewReader(test.text),
				"end with data":      iotest.DataErrReader(strings.NewReader(test.text)),
				"one byte":           iotest.OneByteReader(strings.NewReader(test.text)),
				"half of the buffer": iotest.HalfReader(strings.NewReader(test.text)),
				"seven bytes":        &chunkReader{chunks: parts(test.text, 7), err: io.EOF},
			}
			for way, reader := range readers {
				if got, err := collect(NewEventReader(reader)); !isExactly(err, io.EOF) || !slices.Equal(got, want) {
					t.Errorf("%s:\ngot  %v, %v\nwant %v", way, got, err, want)
				}
			}
		})
	}
}

// TestEventIsReturnedWithoutReadingAhead: a read after the blank line would block until the
// next event.
func TestEventIsReturnedWithoutReadingAhead(t *testing.T) {
	for _, text := range []string{"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", ": ping\n\n", "\n", "data: a\r\n\n", "data: a\n\r\n"} {
		for size := 1; size <= len(text); size++ {
			source := &chunkReader{chunks: parts(text, size), err: errors.New("read too far")}
			event, err := NewEventReader(source).Next()
			if err != nil || strings.TrimSuffix(string(event.Raw), "\n") != strings.TrimSuffix(text, "\n") || source.extraReads > 0 {
				t.Errorf("%q by %d: got %q, %v, with %d extra reads", text, size, event.Raw, err, source.extraReads)
			}
		}
	}
}

func TestBrokenStreamYieldsNoPartialEvent(t *testing.T) {
	broken := errors.New("broken")
	for _, text := range []string{"data: a\n\ndata: b", "data: a\n\ndata: b\n", "data: a\n\ndata: b\r"} {
		events := NewEventReader(&chunkReader{chunks: [][]byte{[]byte(text)}, err: broken})
		got, err := collect(events)
		if !isExactly(err, broken) || len(got) != 1 {
			t.Errorf("%q: got %v, %v", text, got, err)
		}
		if _, err := events.Next(); !isExactly(err, broken) {
			t.Errorf("%q: then %v", text, err)
		}
	}
}

func TestEventSizeIsLimited(t *testing.T) {
	events := NewEventReader(io.MultiReader(strings.NewReader("data: "), strings.NewReader(strings.Repeat("x", 2*maxEventBytes))))
	if _, err := events.Next(); !apierror.Is(err, apierror.RunnerFailure) {
		t.Errorf("got %v", err)
	}
	if _, err := events.Next(); !apierror.Is(err, apierror.RunnerFailure) {
		t.Errorf("then %v", err)
	}
}

// TestCompleteEventsAreReturnedWithoutReading reads two complete events and a part of a
// third at once: only the third needs another read.
func TestCompleteEventsAreReturnedWithoutReading(t *testing.T) {
	source := &chunkReader{chunks: [][]byte{[]byte("data: a\n\ndata: b\n\ndata: c\n")}, err: io.EOF}
	events := NewEventReader(source)
	if len(source.chunks) != 1 {
		t.Error("read before an event was wanted")
	}
	for _, want := range []string{"a", "b"} {
		if event, err := events.Next(); err != nil || string(event.Data) != want || source.extraReads != 0 {
			t.Errorf("got %v, %v after %d extra reads, want %q", event, err, source.extraReads, want)
		}
	}
	if _, _ = events.Next(); source.extraReads == 0 {
		t.Error("the rest of the stream was returned before its end was read")
	}
}

func TestEventsAreNotOverwritten(t *testing.T) {
	text := strings.Builder{}
	for number := range 2000 {
		fmt.Fprintf(&text, "id: %d\ndata: one %d\ndata: two\n\n", number, number)
	}
	events := NewEventReader(iotest.HalfReader(strings.NewReader(text.String())))
	kept := []Event{}
	for {
		event, err := events.Next()
		if err != nil {
			break
		}
		kept = append(kept, event)
		// Appending to the slices of one event must not change another.
		_, _ = append(event.Raw, "overwritten"...), append(event.Data, "overwritten"...)
	}
	raw := strings.Builder{}
	for number, event := range kept {
		raw.Write(event.Raw)
		if want := fmt.Sprintf("one %d\ntwo", number); string(event.Data) != want || event.ID != fmt.Sprint(number) {
			t.Fatalf("event %d became %v", number, event)
		}
	}
	if raw.String() != text.String() || len(kept) != 2000 {
		t.Error("the concatenation of the events differs from the stream")
	}
}

// TestLateLineFeedAfterCarriageReturn: a line feed that arrives after the carriage return
// that ended an event belongs to it and is not a blank line of its own.
func TestLateLineFeedAfterCarriageReturn(t *testing.T) {
	events := NewEventReader(&chunkReader{chunks: [][]byte{[]byte("data: a\n\r"), []byte("\ndata: b\n\n")}, err: io.EOF})
	want := []string{Event{[]byte("data: a\n\r"), "", []byte("a"), true}.String(), Event{[]byte("\ndata: b\n\n"), "", []byte("b"), true}.String()}
	if got, err := collect(events); !isExactly(err, io.EOF) || !slices.Equal(got, want) {
		t.Errorf("got %v, %v", got, err)
	}
}

// FuzzEventReader checks that no byte of a stream is lost or moved and that the events do
// not depend on how the stream is split into reads.
func FuzzEventReader(f *testing.F) {
	for _, test := range streams {
		if len(test.text) < 1000 {
			f.Add(test.text, 3)
		}
	}
	f.Add("\r\n\r\n\r\r\n\n\r", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		read := func(size int) (raw, data string) {
			events := NewEventReader(&chunkReader{chunks: parts(text, size), err: io.EOF})
			for {
				event, err := events.Next()
				if err != nil {
					return raw, data
				}
				raw += string(event.Raw)
				if event.HasData {
					data += fmt.Sprintf("%q %q,", event.ID, event.Data)
				}
			}
		}
		raw, data := read(min(max(size, 1), 1000))
		unsplit, all := read(len(text) + 1)
		if raw != text || unsplit != text || data != all {
			t.Errorf("%q became %q and %q, with %s and %s", text, raw, unsplit, data, all)
		}
	})
}
