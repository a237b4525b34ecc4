package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is a header followed by the payload. The header holds four
// little-endian 32-bit numbers: magic, payload length, CRC of the payload, and
// CRC of the three preceding numbers. CRCs use the Castagnoli polynomial.
const (
	frameMagic  = 0x4c505352
	headerSize  = 16
	maxPayload  = 1 << 30
	sectorBytes = 512
	// minZeroBytes is the shortest run of zeros that counts as an unwritten part
	// of a sector.
	minZeroBytes = 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that the content of a file differs from what was written.
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

// frameState classifies the data at an offset.
type frameState uint8

const (
	frameIntact frameState = iota
	// frameTorn marks data that a write interrupted by a crash can leave behind.
	frameTorn
	// frameDamaged marks data that an interrupted write cannot leave behind.
	frameDamaged
)

// readFrame reads the frame at the start of data. data extends to the end of the
// file; offset is its position in the file.
func readFrame(data []byte, offset int) (payload []byte, state frameState) {
	if len(data) < headerSize {
		return nil, frameTorn
	}
	length, sum, ok := parseHeader(data)
	if !ok {
		return nil, tornOrDamaged(allZero(data) || zeroFromNextSector(data, offset))
	}
	if uint64(len(data)-headerSize) < uint64(length) {
		return nil, frameTorn
	}
	payload = data[headerSize : headerSize+int(length)]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, tornOrDamaged(hasZeroSector(data[:headerSize+int(length)], offset))
	}
	return payload, frameIntact
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

func tornOrDamaged(torn bool) frameState {
	if torn {
		return frameTorn
	}
	return frameDamaged
}

func allZero(data []byte) bool {
	return len(bytes.TrimLeft(data, "\x00")) == 0
}

// zeroFromNextSector reports whether the header at offset spans two sectors and
// all data from the second sector on is zero, that is, unwritten.
func zeroFromNextSector(data []byte, offset int) bool {
	written := sectorBytes - offset%sectorBytes
	return written < headerSize && allZero(data[written:])
}

// hasZeroSector reports whether the frame's part of any sector is all zeros. This
// happens when the file had grown before the crash but the sector was not written
// yet; a flipped bit does not have this effect. Parts shorter than minZeroBytes
// are ignored: a few zeros may be valid payload, and treating them as a torn
// write could silently truncate a synced record.
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

// hasLaterFrame reports whether data holds an intact frame after its first byte.
// In that case the data before that frame was not the end of the log, so it is
// not a torn tail.
func hasLaterFrame(data []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(data); at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return false
		}
		at += next
		if _, state := readFrame(data[at:], at); state == frameIntact {
			return true
		}
	}
	return false
}

// readFrames calls f with the payload of each frame of a file and returns the
// total size of the intact frames in bytes. A torn tail is accepted, and left out
// of the size, only if last is set; otherwise it is a *CorruptError.
func readFrames(name string, data []byte, last bool, f func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, state := readFrame(data[offset:], offset)
		if state == frameTorn && last && !hasLaterFrame(data[offset:]) {
			return offset, nil
		}
		if state != frameIntact {
			return offset, &CorruptError{File: name, Offset: int64(offset), Reason: "checksum or length"}
		}
		if err := f(payload); err != nil {
			return offset, &CorruptError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headerSize + len(payload)
	}
	return offset, nil
}
