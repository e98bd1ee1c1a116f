package zone

import (
	"maps"
	"slices"
)

// ImageCache models the images that a machine has cached: the most recently used ones that fit into
// its cache. A machine fetches missing images and evicts the least recently used ones. Workers do not
// report their caches, so the contents are derived from the tasks that ran on the machine.
type ImageCache struct{ images []cachedImage } // least recently used first

type cachedImage struct {
	name   string
	sizeGB float64 // 0 if unknown
}

// Has reports whether an image is assumed to be cached.
func (c *ImageCache) Has(image string) bool { return c.find(image) >= 0 }

func (c *ImageCache) find(image string) int {
	return slices.IndexFunc(c.images, func(cached cachedImage) bool { return cached.name == image })
}

// Update records that images, given with their sizes in GB, are in use on a machine with a cache of
// limitGB, which is unlimited if 0. Images in use are cached regardless of their size. It returns
// whether any image was added or evicted.
func (c *ImageCache) Update(limitGB float64, inUse map[string]float64) bool {
	added := c.touch(inUse)
	if limitGB <= 0 {
		return added
	}
	evicted := c.evict(limitGB, len(inUse))
	return added || evicted
}

// touch marks images as the most recently used ones, in the order of their names. It returns whether any
// was added.
func (c *ImageCache) touch(images map[string]float64) bool {
	added := false
	for _, name := range slices.Sorted(maps.Keys(images)) {
		image := cachedImage{name, images[name]}
		if i := c.find(name); i >= 0 {
			image.sizeGB = max(image.sizeGB, c.images[i].sizeGB)
			c.images = slices.Delete(c.images, i, i+1)
		} else {
			added = true
		}
		c.images = append(c.images, image)
	}
	return added
}

// evict removes the least recently used images until the others fit into the cache, but keeps at least
// the given number of the most recently used ones. It returns whether any was removed.
func (c *ImageCache) evict(limitGB float64, keep int) bool {
	sum := 0.0
	for _, image := range c.images {
		sum += image.sizeGB
	}
	evicted := false
	for sum > limitGB+tolerance && len(c.images) > keep {
		sum -= c.images[0].sizeGB
		c.images = slices.Delete(c.images, 0, 1)
		evicted = true
	}
	return evicted
}

// Restore adds images stored by an earlier leader, as the least recently used ones. They keep this rank until
// tasks on the machine use them.
func (c *ImageCache) Restore(images []string) {
	for _, name := range images {
		if !c.Has(name) {
			c.images = slices.Insert(c.images, 0, cachedImage{name: name})
		}
	}
}

// Names returns the images in the order of their names.
func (c *ImageCache) Names() []string {
	out := make([]string, len(c.images))
	for i, image := range c.images {
		out[i] = image.name
	}
	slices.Sort(out)
	return out
}
