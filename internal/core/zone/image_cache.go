package zone

import (
	"maps"
	"slices"
)

// ImageCache is the images that a machine is believed to have cached: the most recently used ones
// that fit into its cache. A machine fetches the images that it lacks and evicts the least recently
// used ones. No worker reports its cache, so it is derived from the tasks that ran there.
type ImageCache struct{ images []cachedImage } // least recently used first

type cachedImage struct {
	name   string
	sizeGB float64 // 0: not known
}

// Has reports whether an image is believed to be cached.
func (c *ImageCache) Has(image string) bool { return c.find(image) >= 0 }

func (c *ImageCache) find(image string) int {
	return slices.IndexFunc(c.images, func(cached cachedImage) bool { return cached.name == image })
}

// Update records that images, given with their sizes in GB, are in use on a machine with a cache of
// limitGB; 0: unlimited. Images in use are cached whatever their size. It returns whether any image
// was added or evicted.
func (c *ImageCache) Update(limitGB float64, inUse map[string]float64) bool {
	added := c.use(inUse)
	if limitGB <= 0 {
		return added
	}
	evicted := c.evict(limitGB, len(inUse))
	return added || evicted
}

// use makes images the most recently used ones, in the order of their names. It returns whether any
// was added.
func (c *ImageCache) use(images map[string]float64) bool {
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

// evict removes the least recently used images until the others fit into the cache, but keeps a
// number of the most recently used. It returns whether any was removed.
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

// Restore adds images that an earlier leader has stored, as the least recently used ones, until the
// machine's tasks show more.
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
