package durablelog

import (
	"encoding/binary"

	"yardrock.example/system/vfs"
)

// readWindowBytes is how much of a file is read at a time.
const readWindowBytes = 256 << 10

// frameReader reads the frames of a file from its beginning. It has a window of the file in
// memory and never the whole, and what it returns does not share memory with other frames: a
// start needs no more memory than what it keeps.
type frameReader struct {
	directory vfs.Directory
	name      string
	size      int64
	// offset is that of the next frame, and window what was read from there on.
	offset int64
	window []byte
}

// frame is one frame of a file. The body is valid until the next one is read.
type frame struct {
	number   uint64
	checksum uint32
	body     []byte
}

// openFrames returns a reader of a file; the error of a missing one is fs.ErrNotExist.
func openFrames(directory vfs.Directory, name string) (*frameReader, error) {
	size, err := directory.Size(name)
	if err != nil {
		return nil, err
	}
	return &frameReader{directory: directory, name: name, size: size}, nil
}

// left returns how many bytes of the file follow the offset.
func (reader *frameReader) left() int64 { return reader.size - reader.offset }

// fill has the window hold so many bytes, or what is left of the file if that is less.
func (reader *frameReader) fill(length int) error {
	length = int(min(int64(length), reader.left()))
	if len(reader.window) >= length {
		return nil
	}
	window, err := reader.directory.ReadRange(reader.name, reader.offset, int(min(int64(max(length, readWindowBytes)), reader.left())))
	if err == nil {
		reader.window = window
	}
	return err
}

// peek returns the frame at the offset, without passing over it. It is not complete if there is
// none with the magic number, or if it is torn or damaged.
func (reader *frameReader) peek(magic uint32) (found frame, complete bool, err error) {
	if err := reader.fill(frameHeaderBytes); err != nil {
		return frame{}, false, err
	}
	if len(reader.window) < frameHeaderBytes || binary.LittleEndian.Uint32(reader.window) != magic {
		return frame{}, false, nil
	}
	length := frameHeaderBytes + int64(binary.LittleEndian.Uint32(reader.window[4:]))
	if length > reader.left() {
		return frame{}, false, nil
	}
	if err := reader.fill(int(length)); err != nil {
		return frame{}, false, err
	}
	number, body, complete := frameBody(reader.window, magic)
	return frame{number: number, checksum: binary.LittleEndian.Uint32(reader.window[16:]), body: body}, complete, nil
}

// skip passes over a frame that was returned.
func (reader *frameReader) skip(passed frame) {
	length := frameHeaderBytes + len(passed.body)
	reader.offset += int64(length)
	reader.window = reader.window[length:]
}

// rest reads what follows the offset, to its end.
func (reader *frameReader) rest() ([]byte, error) {
	return reader.directory.ReadRange(reader.name, reader.offset, int(reader.left()))
}
