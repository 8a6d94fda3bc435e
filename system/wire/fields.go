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

// encodeNonEmptyList is encodeList for a list that is left out of the message if it is empty.
func encodeNonEmptyList[Item any, Struct ~capnp.StructKind](newList func(int32) (capnp.StructList[Struct], error), items []Item, encode func(Struct, *Item) error) error {
	if len(items) == 0 {
		return nil
	}
	return encodeList(newList, items, encode)
}

// decodeList decodes each element of a list; it returns nil for an empty list.
func decodeList[Item any, Struct ~capnp.StructKind](getList func() (capnp.StructList[Struct], error), decode func(Struct, *Item) error) ([]Item, error) {
	list, err := getList()
	if err != nil || list.Len() == 0 {
		return nil, err
	}
	items := make([]Item, list.Len())
	return items, decodeInto(items, list, decode)
}

// decodeInto decodes each element of a list into the item at its position.
func decodeInto[Item any, Struct ~capnp.StructKind](items []Item, list capnp.StructList[Struct], decode func(Struct, *Item) error) error {
	for position := range items {
		if err := decode(list.At(position), &items[position]); err != nil {
			return err
		}
	}
	return nil
}

// encodeTexts is encodeList for strings.
func encodeTexts(newList func(int32) (capnp.TextList, error), texts []string) error {
	list, err := newList(int32(len(texts)))
	for position := 0; err == nil && position < len(texts); position++ {
		err = list.Set(position, texts[position])
	}
	return err
}

// decodeTexts is decodeList for strings.
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

// encodeNonEmptyTexts is encodeTexts for a list that is left out of the message if it is empty.
func encodeNonEmptyTexts(newList func(int32) (capnp.TextList, error), texts []string) error {
	if len(texts) == 0 {
		return nil
	}
	return encodeTexts(newList, texts)
}

// encodeData sets a field to bytes unless there are none.
func encodeData(data []byte, set func([]byte) error) error {
	if len(data) == 0 {
		return nil
	}
	return set(data)
}

// textField is a string and the setter of its message field.
type textField struct {
	value string
	set   func(string) error
}

// encodeNonEmpty sets the fields whose value is not empty, in order. Setting an empty text
// would still take up a word of the message.
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

// fieldReader keeps the first error of a series of pointer field reads, so that a struct can
// be filled in one literal and checked once.
type fieldReader struct{ err error }

// readField returns the value of a field, or the zero value after an error, which it records in
// reader if it is the first.
func readField[Value any](reader *fieldReader, get func() (Value, error)) Value {
	value, err := get()
	if err != nil && reader.err == nil {
		reader.err = err
	}
	return value
}

// readBytes is readField for byte slices; it returns nil for empty ones. The result aliases the
// message.
func readBytes(reader *fieldReader, get func() ([]byte, error)) []byte {
	if data := readField(reader, get); len(data) > 0 {
		return data
	}
	return nil
}

// readList is readField for a list of structs. Like the library's reflection, it returns an empty
// list that is not nil if there are no elements.
func readList[Item any, Struct ~capnp.StructKind](reader *fieldReader, getList func() (capnp.StructList[Struct], error), decode func(Struct, *Item) error) []Item {
	if items := readField(reader, func() ([]Item, error) { return decodeList(getList, decode) }); items != nil {
		return items
	}
	return []Item{}
}

// readTexts is readList for strings.
func readTexts(reader *fieldReader, getList func() (capnp.TextList, error)) []string {
	if texts := readField(reader, func() ([]string, error) { return decodeTexts(getList) }); texts != nil {
		return texts
	}
	return []string{}
}

// encodeNested allocates a struct in a message and encodes a value into it.
func encodeNested[Value any, Struct ~capnp.StructKind](newStruct func() (Struct, error), value *Value, encode func(Struct, *Value) error) error {
	nested, err := newStruct()
	if err != nil {
		return err
	}
	return encode(nested, value)
}

// decodeNested decodes a struct in a message into a value.
func decodeNested[Value any, Struct ~capnp.StructKind](getStruct func() (Struct, error), value *Value, decode func(Struct, *Value) error) error {
	nested, err := getStruct()
	if err != nil {
		return err
	}
	return decode(nested, value)
}
