#include "lib/locality/locality_factor.h"

#include <glib.h>
#include <math.h>

enum
{
  /* Ends at each kind of place from which on an image's factor may be used. */
  ENDS_MIN = 10,
  /* Ends after which the mean is a moving one. */
  ENDS_WINDOW = 100,
  /* Images that are kept; the one that was seen least recently is replaced. */
  IMAGES_MAX = 256,
};

/* Error of the logarithm of a learned factor below which it replaces the configured one. */
static const double ERROR_MAX = 0.2;
static const double FACTOR_MAX = 16;

/* Mean and variance of the logarithm of actual over estimated durations. */
struct log_mean
{
  double mean;
  double variance;
  unsigned n;
};

struct image_factor
{
  struct log_mean near;
  struct log_mean far;
  uint64_t seen;
};

struct locality_factors
{
  double configured;
  /* Image to struct image_factor. */
  GHashTable *images;
  uint64_t n_observed;
};

struct locality_factors *
locality_factors_create (double configured)
{
  struct locality_factors *factors = g_new0 (struct locality_factors, 1);

  factors->configured = configured;
  factors->images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return factors;
}

/* Frees the table; NULL is allowed. */
void
locality_factors_destroy (struct locality_factors *factors)
{
  if (!factors)
    return;
  g_hash_table_destroy (factors->images);
  g_free (factors);
}

static void
log_mean_add (struct log_mean *mean, double value)
{
  double difference = value - mean->mean;
  double share;

  mean->n = MIN (mean->n + 1, ENDS_WINDOW);
  share = 1.0 / mean->n;
  mean->mean += share * difference;
  mean->variance = (1 - share) * (mean->variance + share * difference * difference);
}

static void
factors_remove_oldest (struct locality_factors *factors)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  const char *oldest = NULL;
  uint64_t seen = UINT64_MAX;

  g_hash_table_iter_init (&iter, factors->images);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct image_factor *image = value;

      if (image->seen >= seen)
        continue;
      seen = image->seen;
      oldest = key;
    }
  if (oldest)
    g_hash_table_remove (factors->images, oldest);
}

void
locality_factors_observe (struct locality_factors *factors, const char *image, bool near,
                          int64_t estimate_ms, int64_t actual_ms)
{
  struct image_factor *entry = g_hash_table_lookup (factors->images, image);

  if (estimate_ms <= 0 || actual_ms <= 0)
    return;
  if (!entry)
    {
      if (g_hash_table_size (factors->images) >= IMAGES_MAX)
        factors_remove_oldest (factors);
      entry = g_new0 (struct image_factor, 1);
      g_hash_table_insert (factors->images, g_strdup (image), entry);
    }
  entry->seen = ++factors->n_observed;
  log_mean_add (near ? &entry->near : &entry->far, log ((double) actual_ms / (double) estimate_ms));
}

/* The learned factor is used once its standard error is small enough, else the configured one. */
double
locality_factor (const struct locality_factors *factors, const char *image)
{
  const struct image_factor *entry = g_hash_table_lookup (factors->images, image);
  double error;

  if (!entry || entry->near.n < ENDS_MIN || entry->far.n < ENDS_MIN)
    return factors->configured;
  error = sqrt (entry->near.variance / entry->near.n + entry->far.variance / entry->far.n);
  if (error > ERROR_MAX)
    return factors->configured;
  return CLAMP (exp (entry->far.mean - entry->near.mean), 1, FACTOR_MAX);
}
