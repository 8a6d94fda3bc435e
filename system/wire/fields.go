package wire

import (
	"capnproto.org/go/capnp/v3"
)

func encodeList[Item any, Struct ~capnp.StructKind](made capnp.StructList[Struct], err error, items []Item, encode func(Struct, *Item) error) error {
	for position := 0; err == nil && position < len(items); position++ {
		err = encode(made.At(position), &items[position])
	}
	return err
}

func decodeList[Item any, Struct ~capnp.StructKind](source capnp.StructList[Struct], err error, decode func(Struct, *Item) error) ([]Item, error) {
	if err != nil || source.Len() == 0 {
		return nil, err
	}
	items := make([]Item, source.Len())
	for position := range items {
		if err := decode(source.At(position), &items[position]); err != nil {
			return nil, err
		}
	}
	return items, nil
}

func encodeTexts(made capnp.TextList, err error, texts []string) error {
	for position := 0; err == nil && position < len(texts); position++ {
		err = made.Set(position, texts[position])
	}
	return err
}

func decodeTexts(source capnp.TextList, err error) ([]string, error) {
	if err != nil || source.Len() == 0 {
		return nil, err
	}
	texts := make([]string, source.Len())
	for position := range texts {
		if texts[position], err = source.At(position); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

// taking reads fields one after the other and keeps the first failure.
type fieldReader struct{ err error }

func field[Value any](reader *fieldReader, read func() (Value, error)) Value {
	value, err := read()
	if err != nil && reader.err == nil {
		reader.err = err
	}
	return value
}

// readBytes reads a byte field; an empty one is nil.
func readBytes(reading *fieldReader, read func() ([]byte, error)) []byte {
	if data := field(reading, read); len(data) > 0 {
		return data
	}
	return nil
}
