package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is a header of four little-endian 32-bit numbers (magic, length of
// the payload, CRC of the payload, CRC of the three numbers before) and the
// payload. CRCs use the Castagnoli polynomial.
const (
	frameMagic  = 0x4c505352
	headerSize  = 16
	maxPayload  = 1 << 30
	sectorBytes = 512
	// minZeroBytes is how many zeros are taken for an unwritten part of a sector.
	minZeroBytes = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError means that a file holds bytes that were not written like that.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

func appendFrame(buffer, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(buffer[start:], castagnoli))
	return append(buffer, payload...)
}

// frameState says what stands at an offset.
type frameState uint8

const (
	frameWhole frameState = iota
	// frameTorn can come from a write that a crash cut short.
	frameTorn
	// frameDamaged cannot.
	frameDamaged
)

// readFrame reads the frame at the start of data, which reaches to the file's
// end; offset is its place in the file.
func readFrame(data []byte, offset int) (payload []byte, state frameState) {
	if len(data) < headerSize {
		return nil, frameTorn
	}
	length, sum, ok := parseHeader(data)
	if !ok {
		return nil, tornIf(allZero(data) || zeroFromNextSector(data, offset))
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return nil, frameTorn
	}
	payload = data[headerSize : headerSize+int(length)]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, tornIf(hasZeroSector(data[:headerSize+int(length)], offset))
	}
	return payload, frameWhole
}

func parseHeader(data []byte) (length, sum uint32, ok bool) {
	if binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, 0, false
	}
	if crc32.Checksum(data[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(data[headerSize-4:]) {
		return 0, 0, false
	}
	length = binary.LittleEndian.Uint32(data[4:])
	return length, binary.LittleEndian.Uint32(data[8:]), length <= maxPayload
}

func tornIf(torn bool) frameState {
	if torn {
		return frameTorn
	}
	return frameDamaged
}

func allZero(data []byte) bool {
	return len(bytes.TrimLeft(data, "\x00")) == 0
}

// zeroFromNextSector reports whether a header lies across two sectors and
// nothing was written from the second one on.
func zeroFromNextSector(data []byte, offset int) bool {
	written := sectorBytes - offset%sectorBytes
	return written < headerSize && allZero(data[written:])
}

// hasZeroSector reports whether a sector that the frame reaches into is all
// zeros there: the file had grown before the crash, but the sector was not
// written yet. A flipped bit does not look like that. Where the frame reaches
// only a few bytes into a sector, zeros prove nothing: taking them for a torn
// write could cut a synced record in silence.
func hasZeroSector(frame []byte, offset int) bool {
	for len(frame) > 0 {
		sector := min(len(frame), sectorBytes-offset%sectorBytes)
		if sector >= minZeroBytes && allZero(frame[:sector]) {
			return true
		}
		frame, offset = frame[sector:], offset+sector
	}
	return false
}

// wholeFrameFollows reports whether any later place holds a whole frame: then
// what stands before it was not the end of the log.
func wholeFrameFollows(data []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return false
		}
		at += next
		if _, state := readFrame(data[at:], at); state == frameWhole {
			return true
		}
	}
	return false
}

// readFrames calls f with each payload of a file and returns how many bytes are
// whole. A torn end is cut only in the last file.
func readFrames(name string, data []byte, last bool, f func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, state := readFrame(data[offset:], offset)
		if state == frameTorn && last && !wholeFrameFollows(data[offset:]) {
			return offset, nil
		}
		if state != frameWhole {
			return offset, &CorruptError{File: name, Offset: int64(offset), Reason: "checksum or length"}
		}
		if err := f(payload); err != nil {
			return offset, &CorruptError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headerSize + len(payload)
	}
	return offset, nil
}
