package durablelog

import (
	"encoding/binary"

	"yardrock.example/system/vfs"
)

// readWindowBytes is the number of bytes read from a file at a time.
const readWindowBytes = 256 << 10

// frameReader reads the frames of a file sequentially. It buffers a window of the file instead
// of the whole, which bounds the memory that a replay needs.
type frameReader struct {
	directory vfs.Directory
	name      string
	size      int64
	// offset is the position of the next frame, and window the data buffered from there on.
	offset int64
	window []byte
}

// frame is one frame of a file. Its body is valid until the next frame is read.
type frame struct {
	number   uint64
	checksum uint32
	body     []byte
}

// openFrameReader returns a reader for a file. The error for a missing file is fs.ErrNotExist.
func openFrameReader(directory vfs.Directory, name string) (*frameReader, error) {
	size, err := directory.Size(name)
	if err != nil {
		return nil, err
	}
	return &frameReader{directory: directory, name: name, size: size}, nil
}

// remaining returns the number of bytes after the offset.
func (reader *frameReader) remaining() int64 { return reader.size - reader.offset }

// fill reads ahead until the window holds at least length bytes, or the remainder of the file
// if that is shorter.
func (reader *frameReader) fill(length int) error {
	length = int(min(int64(length), reader.remaining()))
	if len(reader.window) >= length {
		return nil
	}
	window, err := reader.directory.ReadRange(reader.name, reader.offset, int(min(int64(max(length, readWindowBytes)), reader.remaining())))
	if err == nil {
		reader.window = window
	}
	return err
}

// peek returns the frame at the offset without advancing. complete is false if the magic number
// differs or the frame is torn or corrupt.
func (reader *frameReader) peek(magic uint32) (found frame, complete bool, err error) {
	if err := reader.fill(frameHeaderBytes); err != nil {
		return frame{}, false, err
	}
	if len(reader.window) < frameHeaderBytes || binary.LittleEndian.Uint32(reader.window) != magic {
		return frame{}, false, nil
	}
	length := frameHeaderBytes + int64(binary.LittleEndian.Uint32(reader.window[4:]))
	if length > reader.remaining() {
		return frame{}, false, nil
	}
	if err := reader.fill(int(length)); err != nil {
		return frame{}, false, err
	}
	number, body, complete := frameBody(reader.window, magic)
	return frame{number: number, checksum: binary.LittleEndian.Uint32(reader.window[16:]), body: body}, complete, nil
}

// skip advances past a frame that peek returned.
func (reader *frameReader) skip(peeked frame) {
	length := frameHeaderBytes + len(peeked.body)
	reader.offset += int64(length)
	reader.window = reader.window[length:]
}

// tail returns the data from the offset to the end of the file.
func (reader *frameReader) tail() ([]byte, error) {
	return reader.directory.ReadRange(reader.name, reader.offset, int(reader.remaining()))
}
