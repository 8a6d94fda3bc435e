package durablelog

import "yardrock.example/system/vfs"

// writeBufferBytes is the size of the buffer for small writes.
const writeBufferBytes = 64 << 10

// bufferedWriter writes to a file sequentially, starting at an offset. It batches small writes
// and passes large ones through without copying them.
type bufferedWriter struct {
	directory vfs.Directory
	file      string
	// offset is the file position of the next unbuffered write.
	offset int64
	buffer []byte
}

// write writes data, which reaches the file with the next flush at the latest.
func (writer *bufferedWriter) write(data []byte) error {
	if len(writer.buffer)+len(data) <= writeBufferBytes {
		writer.buffer = append(writer.buffer, data...)
		return nil
	}
	if err := writer.flush(); err != nil {
		return err
	}
	if len(data) <= writeBufferBytes {
		writer.buffer = append(writer.buffer, data...)
		return nil
	}
	return writer.writeThrough(data)
}

func (writer *bufferedWriter) flush() error {
	err := writer.writeThrough(writer.buffer)
	writer.buffer = writer.buffer[:0]
	return err
}

// writeThrough writes data to the file, bypassing the buffer.
func (writer *bufferedWriter) writeThrough(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := writer.directory.WriteAt(writer.file, writer.offset, data); err != nil {
		return err
	}
	writer.offset += int64(len(data))
	return nil
}

// writeFrame writes records as one log frame and flushes the buffer.
func (writer *bufferedWriter) writeFrame(sequence uint64, records []Record) error {
	size, body := 0, make([][]byte, 0, 2*len(records))
	for _, record := range records {
		size += recordHeaderBytes + len(record.Data)
		body = append(body, appendRecordHeader(nil, record), record.Data)
	}
	header := make([]byte, frameHeaderBytes)
	putFrameHeader(header, frameMagic, sequence, size, body...)
	if err := writer.write(header); err != nil {
		return err
	}
	for _, part := range body {
		if err := writer.write(part); err != nil {
			return err
		}
	}
	return writer.flush()
}
