package zone

import (
	"maps"
	"slices"
)

// ImageCache is what a machine is believed to have of images: the most recently used ones within its
// size. A machine fetches what it lacks, and gives up what was used longest ago; nobody reports
// it, so it is reckoned from the tasks that were seen there.
type ImageCache struct{ images []cachedImage } // least recently used first

type cachedImage struct {
	name   string
	sizeGB float64 // 0: not known
}

// Has tells whether an image is believed to be there.
func (c *ImageCache) Has(image string) bool { return c.find(image) >= 0 }

func (c *ImageCache) find(image string) int {
	return slices.IndexFunc(c.images, func(x cachedImage) bool { return x.name == image })
}

// Update notes that images are in use, with their sizes in GB, on a machine that caches so many GB; 0:
// any number. What is in use stays, whatever its size. It returns whether anything came or went.
func (c *ImageCache) Update(limit float64, images map[string]float64) bool {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(images)) {
		x := cachedImage{name, images[name]}
		if i := c.find(name); i >= 0 {
			x.sizeGB = max(x.sizeGB, c.images[i].sizeGB)
			c.images = slices.Delete(c.images, i, i+1)
		} else {
			changed = true
		}
		c.images = append(c.images, x)
	}
	if limit <= 0 {
		return changed
	}
	sum := 0.0
	for _, x := range c.images {
		sum += x.sizeGB
	}
	for sum > limit+tolerance && len(c.images) > len(images) {
		sum -= c.images[0].sizeGB
		c.images = slices.Delete(c.images, 0, 1)
		changed = true
	}
	return changed
}

// Restore takes what somebody else has noted, until the machine's tasks tell more.
func (c *ImageCache) Restore(images []string) {
	for _, name := range images {
		if !c.Has(name) {
			c.images = slices.Insert(c.images, 0, cachedImage{name: name})
		}
	}
}

// Names lists the images, in the order of their names.
func (c *ImageCache) Names() []string {
	out := make([]string, len(c.images))
	for i, x := range c.images {
		out[i] = x.name
	}
	slices.Sort(out)
	return out
}
