package wire

import (
	"capnproto.org/go/capnp/v3"
)

// encodeList allocates a list in a message and encodes each item into its element.
func encodeList[Item any, Struct ~capnp.StructKind](newList func(int32) (capnp.StructList[Struct], error), items []Item, encode func(Struct, *Item) error) error {
	list, err := newList(int32(len(items)))
	for position := 0; err == nil && position < len(items); position++ {
		err = encode(list.At(position), &items[position])
	}
	return err
}

// decodeList decodes each element of a list; an empty list is nil.
func decodeList[Item any, Struct ~capnp.StructKind](getList func() (capnp.StructList[Struct], error), decode func(Struct, *Item) error) ([]Item, error) {
	list, err := getList()
	if err != nil || list.Len() == 0 {
		return nil, err
	}
	items := make([]Item, list.Len())
	return items, decodeInto(items, list, decode)
}

// decodeInto decodes each element of a list into the item of its position.
func decodeInto[Item any, Struct ~capnp.StructKind](items []Item, list capnp.StructList[Struct], decode func(Struct, *Item) error) error {
	for position := range items {
		if err := decode(list.At(position), &items[position]); err != nil {
			return err
		}
	}
	return nil
}

// encodeTexts is encodeList for texts.
func encodeTexts(newList func(int32) (capnp.TextList, error), texts []string) error {
	list, err := newList(int32(len(texts)))
	for position := 0; err == nil && position < len(texts); position++ {
		err = list.Set(position, texts[position])
	}
	return err
}

// decodeTexts is decodeList for texts.
func decodeTexts(getList func() (capnp.TextList, error)) ([]string, error) {
	list, err := getList()
	if err != nil || list.Len() == 0 {
		return nil, err
	}
	texts := make([]string, list.Len())
	for position := range texts {
		if texts[position], err = list.At(position); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

// textField is a text and the setter of the message field that takes it.
type textField struct {
	value string
	set   func(string) error
}

// encodeNonEmpty sets the texts that are not empty, in order. An empty text that is set
// would still take a word of the message.
func encodeNonEmpty(fields []textField) error {
	for _, field := range fields {
		if field.value == "" {
			continue
		}
		if err := field.set(field.value); err != nil {
			return err
		}
	}
	return nil
}

// fieldReader reads pointer fields one after the other and keeps the first error, so that
// a struct can be filled in one literal and checked once.
type fieldReader struct{ err error }

// readField gives the value of a field, or zero if it cannot be read.
func readField[Value any](reader *fieldReader, get func() (Value, error)) Value {
	value, err := get()
	if err != nil && reader.err == nil {
		reader.err = err
	}
	return value
}

// readBytes is readField for bytes; empty ones are nil. They alias the message.
func readBytes(reader *fieldReader, get func() ([]byte, error)) []byte {
	if data := readField(reader, get); len(data) > 0 {
		return data
	}
	return nil
}

// encodeNested allocates a struct in a message and encodes a value into it.
func encodeNested[Value any, Struct ~capnp.StructKind](newStruct func() (Struct, error), value *Value, encode func(Struct, *Value) error) error {
	nested, err := newStruct()
	if err != nil {
		return err
	}
	return encode(nested, value)
}

// decodeNested decodes a struct of a message into a value.
func decodeNested[Value any, Struct ~capnp.StructKind](getStruct func() (Struct, error), value *Value, decode func(Struct, *Value) error) error {
	nested, err := getStruct()
	if err != nil {
		return err
	}
	return decode(nested, value)
}
