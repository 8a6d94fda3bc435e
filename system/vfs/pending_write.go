package vfs

// PendingWrite is an unsynced write to a file or, if Data is nil, an unsynced truncation.
type PendingWrite struct {
	// Offset is the offset of the write in bytes, or the size to truncate to.
	Offset int64
	Data   []byte
}

// ApplyTo returns the file content after the write. It may modify content in place.
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
