package vfs

// PendingWrite is a write to a file that was not synced yet or, if Data is nil, a truncation.
type PendingWrite struct {
	// Offset is where the data is written, or the size that the file is truncated to.
	Offset int64
	Data   []byte
}

// ApplyTo returns a file's content after the write. It may change content itself.
func (write PendingWrite) ApplyTo(content []byte) []byte {
	if write.Data == nil {
		return content[:min(int64(len(content)), write.Offset)]
	}
	if missing := int(write.Offset) + len(write.Data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[write.Offset:], write.Data)
	return content
}
