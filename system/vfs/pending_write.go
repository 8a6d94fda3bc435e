package vfs

// PendingWrite is one write that is not synced yet, or with no data one cut.
type PendingWrite struct {
	Offset int64
	Data   []byte
}

// ApplyTo gives a file's content after the write.
//
//	content = write.ApplyTo(content)
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
