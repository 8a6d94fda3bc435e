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

// Disk is a vfs.Directory in memory with faults. It keeps the written and the durable content of each
// file; LosePower reduces the first to the second. It is safe for concurrent use.
type Disk struct {
	mutex    sync.Mutex
	random   *rand.Rand
	written  map[string][]byte
	durable  map[string][]byte
	unsynced map[string][]vfs.PendingWrite
	stalled  chan struct{} // non-nil while syncs hang
	slow     time.Duration
	full     bool
	syncs    int
	read     int
}

// NewDisk returns an empty disk whose torn writes come from a seed.
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
	disk.read += len(data)
	return slices.Clone(data), nil
}

// ReadRange returns a part of a file.
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
	disk.read += length
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

// Truncate cuts a file to a size, without syncing.
func (disk *Disk) Truncate(name string, size int64) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	data, found := disk.written[name]
	if !found {
		return fs.ErrNotExist
	}
	cut := vfs.PendingWrite{Offset: size}
	disk.written[name] = cut.ApplyTo(data)
	disk.unsynced[name] = append(disk.unsynced[name], cut)
	return nil
}

// Sync makes the written content of a file durable, after a stall or delay that was set.
func (disk *Disk) Sync(name string) error {
	disk.mutex.Lock()
	stalled, slow := disk.stalled, disk.slow
	disk.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	if slow > 0 {
		<-time.After(slow)
	}
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.syncs++
	if _, found := disk.written[name]; found {
		lasting := disk.durable[name]
		for _, write := range disk.unsynced[name] {
			lasting = write.ApplyTo(lasting)
		}
		disk.durable[name] = lasting
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

// List lists the files.
func (disk *Disk) List() ([]string, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return slices.Sorted(maps.Keys(disk.written)), nil
}

// LosePower loses what was not synced. A random part of what was appended to a file since its
// last sync may remain, with a flipped bit.
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
		live, lasted := disk.written[name], len(after[name])
		if len(live) > lasted && disk.random.IntN(2) == 0 {
			torn := slices.Clone(live[lasted : lasted+disk.random.IntN(len(live)-lasted+1)])
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

// Stall makes syncs hang until Resume.
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

// Slow makes each sync take a time; 0 ends it.
//
//	disk.Slow(300 * time.Millisecond)
func (disk *Disk) Slow(each time.Duration) {
	disk.mutex.Lock()
	disk.slow = each
	disk.mutex.Unlock()
}

// Fill makes writes fail because the disk is full, until Fill(false).
//
//	disk.Fill(true)
func (disk *Disk) Fill(full bool) {
	disk.mutex.Lock()
	disk.full = full
	disk.mutex.Unlock()
}

// FlipBit flips a bit in one byte of a file, durably; a negative offset counts from the end.
//
//	disk.FlipBit("log-00000000000000000000", 40)
func (disk *Disk) FlipBit(name string, at int) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if at < 0 {
		at += len(disk.written[name])
	}
	disk.written[name][at] ^= 1
	disk.durable[name][at] ^= 1
}

// TakeRead returns how many bytes were read since the last call.
//
//	read := disk.TakeRead()
func (disk *Disk) TakeRead() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	read := disk.read
	disk.read = 0
	return read
}

// Syncs counts the syncs.
//
//	before := disk.Syncs()
func (disk *Disk) Syncs() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.syncs
}
