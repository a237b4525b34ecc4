package catalogue

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is a memory-efficient table for large numbers of adapter versions: records
// are packed into byte chunks without pointers, and base models and common parts
// of sources are interned. Versions are immutable and are never removed, only
// retired. It is not safe for concurrent use.
type Table struct {
	// slots is an open-addressing hash table of record positions plus one; 0 marks
	// an empty slot. Its length is a power of two.
	slots  []uint32
	count  int
	chunks [][]byte
	models interner
	// templates holds sources with "adapter@version" replaced by refPlaceholder.
	templates interner
}

const (
	chunkBits      = 16
	chunkSize      = 1 << chunkBits
	minSlots       = 64
	maxLoadNumer   = 3
	maxLoadDenom   = 4
	refPlaceholder = "\x00"
	flagRetired    = 1
	flagTemplated  = 2
	maxTemplates   = 256
)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{slots: make([]uint32, minSlots)} }

// Len returns the number of versions, including retired ones.
func (t *Table) Len() int { return t.count }

// Put adds a version, or retires an existing one if the given one is retired.
// Otherwise an existing version is unchanged: a delayed message must neither change
// its weights nor reactivate a retired version.
func (t *Table) Put(a Adapter) {
	if position, found := t.find(a.Ref); found {
		if a.Retired {
			t.record(position)[0] |= flagRetired
		}
		return
	}
	if (t.count+1)*maxLoadDenom > len(t.slots)*maxLoadNumer {
		t.grow()
	}
	t.insert(hash(a.Ref), t.append(a))
	t.count++
}

// Clone returns an independent copy. Its cost is little more than that of copying
// the table's bytes.
func (t *Table) Clone() *Table {
	clone := &Table{
		slots:     slices.Clone(t.slots),
		count:     t.count,
		chunks:    make([][]byte, len(t.chunks)),
		models:    t.models.clone(),
		templates: t.templates.clone(),
	}
	for i, chunk := range t.chunks {
		// Preserve the capacity of the last chunk: records are appended in place.
		clone.chunks[i] = append(make([]byte, 0, chunkSize), chunk...)
	}
	return clone
}

// Get returns a version, including retired ones.
func (t *Table) Get(ref Ref) (Adapter, bool) {
	position, found := t.find(ref)
	if !found {
		return Adapter{}, false
	}
	return t.decode(t.record(position)), true
}

// Sorted returns all versions, sorted by adapter and version.
func (t *Table) Sorted() []Adapter {
	all := make([]Adapter, 0, t.count)
	for _, slot := range t.slots {
		if slot != 0 {
			all = append(all, t.decode(t.record(slot-1)))
		}
	}
	slices.SortFunc(all, func(a, b Adapter) int { return a.Ref.Compare(b.Ref) })
	return all
}

func hash(ref Ref) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(ref.Adapter)
	_, _ = d.WriteString("@")
	_, _ = d.WriteString(ref.Version)
	return d.Sum64()
}

func (t *Table) find(ref Ref) (position uint32, found bool) {
	mask := uint64(len(t.slots) - 1)
	for i := hash(ref) & mask; t.slots[i] != 0; i = (i + 1) & mask {
		position = t.slots[i] - 1
		if t.matches(t.record(position), ref) {
			return position, true
		}
	}
	return 0, false
}

func (t *Table) insert(hash uint64, position uint32) {
	mask := uint64(len(t.slots) - 1)
	i := hash & mask
	for t.slots[i] != 0 {
		i = (i + 1) & mask
	}
	t.slots[i] = position + 1
}

func (t *Table) grow() {
	old := t.slots
	t.slots = make([]uint32, 2*len(old))
	for _, slot := range old {
		if slot != 0 {
			t.insert(hash(t.decode(t.record(slot-1)).Ref), slot-1)
		}
	}
}

// record returns the chunk starting at a record's first byte.
func (t *Table) record(position uint32) []byte {
	return t.chunks[position>>chunkBits][position&(chunkSize-1):]
}

// append encodes and stores a record: flags, adapter, version, model, source.
func (t *Table) append(a Adapter) uint32 {
	flags := byte(0)
	if a.Retired {
		flags |= flagRetired
	}
	template, templated := t.template(a)
	if templated {
		flags |= flagTemplated
	}
	record := []byte{flags}
	record = appendText(record, a.Ref.Adapter)
	record = appendText(record, a.Ref.Version)
	record = binary.AppendUvarint(record, t.models.intern(a.BaseModel))
	if templated {
		record = binary.AppendUvarint(record, template)
	} else {
		record = appendText(record, a.Source)
	}
	return t.store(record)
}

// template returns the number of the source's template, or false if the source has
// none. Sources without a common form are stored verbatim: a template for each
// would use more memory.
func (t *Table) template(a Adapter) (uint64, bool) {
	text := strings.Replace(a.Source, a.Ref.String(), refPlaceholder, 1)
	if text == a.Source || strings.Contains(a.Source, refPlaceholder) {
		return 0, false
	}
	if _, known := t.templates.numbers[text]; !known && len(t.templates.texts) >= maxTemplates {
		return 0, false
	}
	return t.templates.intern(text), true
}

func (t *Table) store(record []byte) uint32 {
	last := len(t.chunks) - 1
	if last < 0 || len(t.chunks[last])+len(record) > chunkSize {
		t.chunks = append(t.chunks, make([]byte, 0, chunkSize))
		last++
	}
	offset := len(t.chunks[last])
	t.chunks[last] = append(t.chunks[last], record...)
	return uint32(last)<<chunkBits | uint32(offset)
}

func (t *Table) matches(record []byte, ref Ref) bool {
	adapter, rest := cutText(record[1:])
	if string(adapter) != ref.Adapter {
		return false
	}
	version, _ := cutText(rest)
	return string(version) == ref.Version
}

func (t *Table) decode(record []byte) Adapter {
	adapter, rest := cutText(record[1:])
	version, rest := cutText(rest)
	model, size := binary.Uvarint(rest)
	rest = rest[size:]
	a := Adapter{
		Ref:       Ref{Adapter: string(adapter), Version: string(version)},
		BaseModel: t.models.texts[model],
		Retired:   record[0]&flagRetired != 0,
	}
	if record[0]&flagTemplated == 0 {
		source, _ := cutText(rest)
		a.Source = string(source)
		return a
	}
	template, _ := binary.Uvarint(rest)
	a.Source = strings.Replace(t.templates.texts[template], refPlaceholder, a.Ref.String(), 1)
	return a
}

func appendText(record []byte, text string) []byte {
	return append(binary.AppendUvarint(record, uint64(len(text))), text...)
}

func cutText(record []byte) (text, rest []byte) {
	length, size := binary.Uvarint(record)
	end := size + int(length)
	return record[size:end], record[end:]
}

// interner assigns numbers to texts that occur frequently.
type interner struct {
	texts   []string
	numbers map[string]uint64
}

func (i *interner) clone() interner {
	return interner{texts: slices.Clone(i.texts), numbers: maps.Clone(i.numbers)}
}

func (i *interner) intern(text string) uint64 {
	if number, known := i.numbers[text]; known {
		return number
	}
	if i.numbers == nil {
		i.numbers = make(map[string]uint64)
	}
	number := uint64(len(i.texts))
	i.texts = append(i.texts, strings.Clone(text))
	i.numbers[text] = number
	return number
}
