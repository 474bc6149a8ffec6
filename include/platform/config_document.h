#ifndef SESAMEPICK_PLATFORM_CONFIG_DOCUMENT_H
#define SESAMEPICK_PLATFORM_CONFIG_DOCUMENT_H

#include <stddef.h>

#include "lib/config_check/config_check.h"

/* Decodes the operators' configuration for a check. What isn't as the platform defines it becomes a
 * finding of the document. A text that is no JSON object gives a document with that finding only.
 */
struct config_document *config_document_decode (const char *text, size_t len);
/* Returns the place of a finding, such as routes[3].path_prefix; free with g_free. */
char *config_finding_place (const struct config_finding *finding);

#endif
