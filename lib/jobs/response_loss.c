#include "lib/jobs/response_loss.h"

/* Weight of a heartbeat in the share. */
static const double LOSS_WEIGHT = 1.0 / 64;
/* Share above which responses are being lost. A rack that loses its power exceeds it for no longer
 * than it takes the other endpoints to respond about a hundred times. */
static const double LOSS_SHARE = 0.02;

enum
{
  /* Three of these and their timeouts fit into the shortest lease that the settings allow. */
  WAIT_MS = 800,
  WAIT_LOSSY_MS = 250,
};

void
response_loss_count (struct response_loss *loss, bool lost)
{
  loss->share += LOSS_WEIGHT * ((lost ? 1.0 : 0.0) - loss->share);
}

int64_t
response_loss_wait_ms (const struct response_loss *loss)
{
  return loss->share > LOSS_SHARE ? WAIT_LOSSY_MS : WAIT_MS;
}
