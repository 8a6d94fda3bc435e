package simulator

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"yardrock.example/system/vfs"
)

// Disk is an in-memory vfs.Directory with fault injection. It keeps the written and the durable
// content of each file; LosePower discards what is written and not durable, except for a random
// part of the end. It is safe for concurrent use.
type Disk struct {
	mutex     sync.Mutex
	random    *rand.Rand
	written   map[string][]byte
	durable   map[string][]byte
	unsynced  map[string][]vfs.PendingWrite
	stalled   chan struct{} // non-nil while syncs hang
	syncDelay time.Duration
	full      bool
	syncs     int
	bytesRead int
}

// NewDisk returns an empty disk whose torn writes depend on the seed.
//
//	disk := simulator.NewDisk(7)
func NewDisk(seed uint64) *Disk {
	return &Disk{random: rand.New(rand.NewPCG(seed, 3)), written: map[string][]byte{}, durable: map[string][]byte{}, unsynced: map[string][]vfs.PendingWrite{}}
}

var errFull = errors.New("no space left on device")

// ReadFile returns the content of a file.
func (disk *Disk) ReadFile(name string) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	data, found := disk.written[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	disk.bytesRead += len(data)
	return slices.Clone(data), nil
}

// ReadRange returns length bytes of a file from an offset on.
func (disk *Disk) ReadRange(name string, offset int64, length int) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	data, found := disk.written[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	if offset+int64(length) > int64(len(data)) {
		return nil, errors.New("short file")
	}
	disk.bytesRead += length
	return slices.Clone(data[offset : offset+int64(length)]), nil
}

// Size returns the length of a file.
func (disk *Disk) Size(name string) (int64, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	data, found := disk.written[name]
	if !found {
		return 0, fs.ErrNotExist
	}
	return int64(len(data)), nil
}

// WriteAt writes without syncing.
func (disk *Disk) WriteAt(name string, offset int64, data []byte) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.full && len(data) > 0 {
		return errFull
	}
	write := vfs.PendingWrite{Offset: offset, Data: append([]byte{}, data...)}
	disk.written[name] = write.ApplyTo(disk.written[name])
	disk.unsynced[name] = append(disk.unsynced[name], write)
	return nil
}

// Truncate sets the size of a file without syncing.
func (disk *Disk) Truncate(name string, size int64) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	data, found := disk.written[name]
	if !found {
		return fs.ErrNotExist
	}
	truncation := vfs.PendingWrite{Offset: size}
	disk.written[name] = truncation.ApplyTo(data)
	disk.unsynced[name] = append(disk.unsynced[name], truncation)
	return nil
}

// Sync makes the written content of a file durable, after the end of a Stall and the delay that
// Slow has set.
func (disk *Disk) Sync(name string) error {
	disk.mutex.Lock()
	stalled, syncDelay := disk.stalled, disk.syncDelay
	disk.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	if syncDelay > 0 {
		<-time.After(syncDelay)
	}
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.syncs++
	if _, found := disk.written[name]; found {
		durable := disk.durable[name]
		for _, write := range disk.unsynced[name] {
			durable = write.ApplyTo(durable)
		}
		disk.durable[name] = durable
		delete(disk.unsynced, name)
	}
	return nil
}

// Remove deletes a file durably.
func (disk *Disk) Remove(name string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	delete(disk.written, name)
	delete(disk.durable, name)
	delete(disk.unsynced, name)
	return nil
}

// List returns the sorted names of all files.
func (disk *Disk) List() ([]string, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return slices.Sorted(maps.Keys(disk.written)), nil
}

// LosePower discards what was not synced. Of what was appended to a file since its last sync, a
// random part may remain, possibly with a flipped bit.
//
//	disk.LosePower()
func (disk *Disk) LosePower() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	after := map[string][]byte{}
	for name, data := range disk.durable {
		after[name] = slices.Clone(data)
	}
	for _, name := range slices.Sorted(maps.Keys(disk.written)) {
		written, durableLength := disk.written[name], len(after[name])
		if len(written) > durableLength && disk.random.IntN(2) == 0 {
			torn := slices.Clone(written[durableLength : durableLength+disk.random.IntN(len(written)-durableLength+1)])
			if len(torn) > 0 && disk.random.IntN(2) == 0 {
				torn[disk.random.IntN(len(torn))] ^= 0x40
			}
			after[name] = append(after[name], torn...)
		}
	}
	disk.written = after
	clear(disk.unsynced)
	disk.durable = map[string][]byte{}
	for name, data := range after {
		disk.durable[name] = slices.Clone(data)
	}
}

// Wipe empties the disk.
//
//	disk.Wipe()
func (disk *Disk) Wipe() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.written, disk.durable = map[string][]byte{}, map[string][]byte{}
	clear(disk.unsynced)
}

// Stall blocks syncs until Resume.
//
//	disk.Stall()
func (disk *Disk) Stall() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.stalled == nil {
		disk.stalled = make(chan struct{})
	}
}

// Resume ends Stall.
//
//	disk.Resume()
func (disk *Disk) Resume() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.stalled != nil {
		close(disk.stalled)
		disk.stalled = nil
	}
}

// Slow delays each sync; 0 ends the delay.
//
//	disk.Slow(300 * time.Millisecond)
func (disk *Disk) Slow(delay time.Duration) {
	disk.mutex.Lock()
	disk.syncDelay = delay
	disk.mutex.Unlock()
}

// Fill makes writes fail with a disk-full error, until Fill(false).
//
//	disk.Fill(true)
func (disk *Disk) Fill(full bool) {
	disk.mutex.Lock()
	disk.full = full
	disk.mutex.Unlock()
}

// FlipBit flips a bit in one byte of the written and the durable content of a file. A negative
// offset counts from the end.
//
//	disk.FlipBit("log-00000000000000000000", 40)
func (disk *Disk) FlipBit(name string, offset int) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if offset < 0 {
		offset += len(disk.written[name])
	}
	disk.written[name][offset] ^= 1
	disk.durable[name][offset] ^= 1
}

// TakeRead returns how many bytes were read since the last call.
//
//	read := disk.TakeRead()
func (disk *Disk) TakeRead() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	read := disk.bytesRead
	disk.bytesRead = 0
	return read
}

// Syncs returns the number of completed syncs.
//
//	before := disk.Syncs()
func (disk *Disk) Syncs() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.syncs
}
